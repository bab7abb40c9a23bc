package main

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestChivespindle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Command-line client")
}
