package callerhttp_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/callerhttp/callerhttptest"
)

func TestCallerHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(callerhttptest.WaitTimeout)
	RunSpecs(t, "Callers' HTTP")
}
