package entryload

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEntryload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Entryload")
}
