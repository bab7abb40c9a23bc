package telemetry_test

import (
	"bytes"
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/telemetry"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

var _ = Describe("Queue", func() {
	// The log reader is blocked. Requests continue: lines beyond the queue's
	// capacity are dropped and counted, and no Write blocks.
	It("never blocks, and counts dropped lines", func() {
		writer := &blockedWriter{release: make(chan struct{})}
		q := telemetry.NewQueue(writer)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- q.Run(ctx) }()
		const lines = 10000
		for range lines {
			Expect(q.Write([]byte("line\n"))).To(Equal(5))
		}
		Expect(q.Dropped()).To(BeNumerically(">", 0))
		close(writer.release)
		cancel()
		Eventually(ended).Should(Receive(BeNil()))
		writer.mu.Lock()
		defer writer.mu.Unlock()
		Expect(bytes.Count(writer.text.Bytes(), []byte("\n")) + int(q.Dropped())).To(Equal(lines))
	})

	// Guards against lines with long texts that fill the memory of the process while the log
	// reader is blocked.
	It("bounds the bytes of queued lines", func() {
		var text bytes.Buffer
		q := telemetry.NewQueue(&text)
		line := append(bytes.Repeat([]byte("x"), 64<<10-1), '\n')
		const lines = 1000
		for range lines {
			_, _ = q.Write(line)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(q.Run(ctx)).To(Succeed())
		Expect(text.Len()).To(And(BeNumerically(">=", len(line)), BeNumerically("<=", 1<<20)))
		Expect(text.Len()/len(line) + int(q.Dropped())).To(Equal(lines))
		_, _ = q.Write([]byte("later\n"))
		Expect(q.Run(ctx)).To(Succeed())
		Expect(text.String()).To(HaveSuffix("later\n"), "room after the queued lines were written")
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
