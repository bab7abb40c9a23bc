package serverlimit_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestServerlimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "serverlimit")
}
