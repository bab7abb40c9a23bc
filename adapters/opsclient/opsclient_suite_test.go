package opsclient_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOpsClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operators' client")
}
