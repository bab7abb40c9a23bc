package telemetry

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacityLines is how many log lines may be queued, and
	// queueCapacityBytes their length. Most lines have a few hundred bytes; lines
	// with long texts must not fill the memory of the process while the log
	// reader is blocked.
	queueCapacityLines = 2048
	queueCapacityBytes = 1 << 20
	// drainTimeout is how long Run continues to write queued lines after its
	// context has ended.
	drainTimeout = 200 * time.Millisecond
)

// Queue is a writer that never blocks. Lines that arrive faster than they can
// be written are dropped and counted: a blocked log reader must not delay
// requests. Each Write is one line.
type Queue struct {
	writer  io.Writer
	lines   chan []byte
	bytes   atomic.Int64 // of the queued lines
	dropped atomic.Int64
}

// NewQueue returns a queue that writes to w. Nothing is written before Run.
func NewQueue(w io.Writer) *Queue {
	return &Queue{writer: w, lines: make(chan []byte, queueCapacityLines)}
}

// Write implements io.Writer. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	if q.bytes.Add(int64(len(line))) > queueCapacityBytes {
		q.drop(line)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.drop(line)
	}
	return len(line), nil
}

func (q *Queue) drop(line []byte) {
	q.bytes.Add(-int64(len(line)))
	q.dropped.Add(1)
}

func (q *Queue) output(line []byte) {
	q.bytes.Add(-int64(len(line)))
	_, _ = q.writer.Write(line) // a failure of the log cannot be logged
}

// Dropped returns the number of dropped lines.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes lines until ctx ends, and then the queued ones.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case line := <-q.lines:
			q.output(line)
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
			q.output(line)
		case <-timeout.C:
			return
		default:
			return
		}
	}
}
