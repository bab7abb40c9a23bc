package telemetry_test

import (
	"bytes"
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/telemetry"
)

// stuck is a reader of the log that stands still until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

var _ = Describe("Queue", func() {
	// Whoever reads the log stands still. Requests go on: lines beyond the queue
	// are dropped and counted, none is waited for.
	It("never waits, and counts what it drops", func() {
		reader := &stuck{release: make(chan struct{})}
		q := telemetry.NewQueue(reader)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- q.Run(ctx) }()
		const lines = 10000
		for range lines {
			Expect(q.Write([]byte("line\n"))).To(Equal(5))
		}
		Expect(q.Dropped()).To(BeNumerically(">", 0))
		close(reader.release)
		cancel()
		Eventually(ended).Should(Receive(BeNil()))
		reader.mu.Lock()
		defer reader.mu.Unlock()
		Expect(bytes.Count(reader.text.Bytes(), []byte("\n")) + int(q.Dropped())).To(Equal(lines))
	})

	It("keeps its own copy of a line", func() {
		var text bytes.Buffer
		q := telemetry.NewQueue(&text)
		line := []byte("one\n")
		_, _ = q.Write(line)
		copy(line, "two\n")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(q.Run(ctx)).To(Succeed())
		Expect(text.String()).To(Equal("one\n"))
	})
})
