package linking_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLinking(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Linking")
}
