package catalog

import (
	"context"
	"time"

	"chivespindle.example/core/failure"
)

// HistoryGone is the error of a watch when the platform no longer holds the changes
// since the requested revision. Everything must be listed again.
var HistoryGone = failure.Namespace.NewType("history_gone", failure.Temporary)

// ResponseTimeout is how long a call to a Source may receive no data before it fails,
// in addition to the time for which a watch waits for changes.
const ResponseTimeout = 800 * time.Millisecond

// Source reads what the platform publishes. Its errors are failure.Unavailable,
// failure.Timeout, failure.RateLimited, failure.Corrupt or HistoryGone.
type Source interface {
	// List reads everything. A Watch from the snapshot's AsOf returns the changes
	// made while List was reading.
	List(ctx context.Context) (Snapshot, error)
	// Watch returns the changes after a revision, and the revision up to which they
	// are complete. It waits at most wait for the first change.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
}
