package main

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStandins(t *testing.T) {
	RegisterFailHandler(Fail)
	// Allows for a machine that runs other tests at the same time.
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "standin/cmd/standins")
}
