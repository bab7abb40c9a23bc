package attempt_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAttempt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "adapters/engine/attempt")
}
