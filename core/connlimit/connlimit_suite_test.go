package connlimit_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConnlimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connlimit")
}
