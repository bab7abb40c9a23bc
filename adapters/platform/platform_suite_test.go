package platform_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	// Long enough for a machine that is busy with other tests.
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "adapters/platform")
}
