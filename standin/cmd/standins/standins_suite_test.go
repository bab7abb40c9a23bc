package main

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStandins(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin/cmd/standins")
}
