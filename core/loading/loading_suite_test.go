package loading_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoading(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Loading")
}
