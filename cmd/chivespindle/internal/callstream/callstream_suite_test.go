package callstream_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCallStream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Streamed calls")
}
