package opshttp_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOpsHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operators' port")
}
