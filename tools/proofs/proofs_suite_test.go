package proofs_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestProofs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Proofs")
}
