package catalog

import (
	"context"
	"time"

	"chivespindle.example/core/failure"
)

// HistoryGone is the failure of a watch whose past is lost: the platform no
// longer holds the changes since the revision that was asked for; everything
// must be listed again.
var HistoryGone = failure.Namespace.NewType("history_gone", failure.Temporary)

// AnswerTime is how long a call to a Source may bring nothing, beside the time for
// which a watch waits for changes, until it fails.
const AnswerTime = 800 * time.Millisecond

// Source reads what the platform publishes. Failures are failure.Unavailable,
// failure.Timeout, failure.RateLimited, failure.Corrupt or HistoryGone.
type Source interface {
	// List reads everything. Changes that come while it reads are seen by a
	// Watch from the snapshot's AsOf.
	List(ctx context.Context) (Snapshot, error)
	// Watch returns the changes after a revision, and up to which revision they
	// lead. It waits for the first change, at most for wait.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
}
