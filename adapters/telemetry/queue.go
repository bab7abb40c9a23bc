package telemetry

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queuedLines is how many log lines may wait to be written, some hundred
	// kilobytes.
	queuedLines = 2048
	// lastLines is how long Run goes on writing what waits after its end.
	lastLines = 200 * time.Millisecond
)

// Queue is a writer that never waits. Lines that come faster than they can be
// written are dropped and counted: a reader of the log that stands still must
// not hold up requests. Each Write is one line.
type Queue struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue in front of w. Nothing is written before Run.
func NewQueue(w io.Writer) *Queue { return &Queue{to: w, lines: make(chan []byte, queuedLines)} }

// Write implements io.Writer. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes lines until ctx ends, and then what waits.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case line := <-q.lines:
			_, _ = q.to.Write(line) // nobody is left to tell
		case <-ctx.Done():
			q.drain()
			return nil
		}
	}
}

func (q *Queue) drain() {
	until := time.NewTimer(lastLines)
	defer until.Stop()
	for {
		select {
		case line := <-q.lines:
			_, _ = q.to.Write(line)
		case <-until.C:
			return
		default:
			return
		}
	}
}
