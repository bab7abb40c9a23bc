package linkshare_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLinkshare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "linkshare")
}
