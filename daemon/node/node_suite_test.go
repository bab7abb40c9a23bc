package node_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/daemon/internal/daemontest"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(daemontest.WaitTimeout)
	RunSpecs(t, "Node")
}
