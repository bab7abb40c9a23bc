package crowd_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCrowd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Crowd")
}
