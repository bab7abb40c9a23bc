package control_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	const eventuallyTimeout = 20 * time.Second
	SetDefaultEventuallyTimeout(eventuallyTimeout)
	RunSpecs(t, "Control")
}
