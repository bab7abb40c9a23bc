package gateway

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against log lines as long as the head of a request.
var _ = Describe("A log line about a call with a long ID", func() {
	It("has only the start of the ID", func() {
		g, _ := newGateway()
		core, lines := observer.New(zap.InfoLevel)
		g.log = newRequestLog(start, zap.New(core), tally.NoopScope)
		g.adopt(time.Now(), snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
		g.publish(time.Now())
		id := strings.Repeat("0123456789abcdef", 1024)
		call := &Call{ID: id, Host: "a.example", Path: "/", Arrived: time.Now(), LastEvent: -1}
		g.Serve(context.Background(), call, make(refusalRecorder, 1))
		Expect(lines.Len()).To(BeNumerically(">", 0))
		for _, line := range lines.All() {
			Expect(line.ContextMap()).To(HaveKeyWithValue("request", id[:64]))
		}
	})
})
