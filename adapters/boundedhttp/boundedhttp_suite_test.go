package boundedhttp_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBoundedhttp(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "boundedhttp")
}
