package enginemodel_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEngineModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "EngineModel")
}
