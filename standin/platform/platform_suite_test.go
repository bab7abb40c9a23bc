package platform_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	// Long enough for a machine under load from other tests.
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "standin/platform")
}
