package fleettext_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFleettext(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleettext")
}
