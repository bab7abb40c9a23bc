package requestlog_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRequestLog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "RequestLog")
}
