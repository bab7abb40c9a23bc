package telemetry

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacityLines is how many log lines may be queued, some hundred
	// kilobytes.
	queueCapacityLines = 2048
	// drainTimeout is how long Run continues to write queued lines after its
	// context has ended.
	drainTimeout = 200 * time.Millisecond
)

// Queue is a writer that never blocks. Lines that arrive faster than they can
// be written are dropped and counted: a blocked log reader must not delay
// requests. Each Write is one line.
type Queue struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue that writes to w. Nothing is written before Run.
func NewQueue(w io.Writer) *Queue {
	return &Queue{output: w, lines: make(chan []byte, queueCapacityLines)}
}

// Write implements io.Writer. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes lines until ctx ends, and then the queued ones.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case line := <-q.lines:
			_, _ = q.output.Write(line) // a failure of the log cannot be logged
		case <-ctx.Done():
			q.drain()
			return nil
		}
	}
}

func (q *Queue) drain() {
	timeout := time.NewTimer(drainTimeout)
	defer timeout.Stop()
	for {
		select {
		case line := <-q.lines:
			_, _ = q.output.Write(line)
		case <-timeout.C:
			return
		default:
			return
		}
	}
}
