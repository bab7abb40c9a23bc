package revision

import (
	"cmp"
	"math/rand/v2"
	"time"

	"chivespindle.example/core/failure"
)

// ReadOptions of a ReadPlan. A zero field takes its default.
type ReadOptions struct {
	// Mean is the mean time between own reads when all is well; default
	// 10 min. 3,910 processes then make 6.5 calls a second together.
	Mean time.Duration
	// StartSpread is the time over which first reads are spread; default
	// 4 s, so that a whole fleet that starts at once makes about 1,000 calls
	// a second.
	StartSpread time.Duration
	// Retry is the shortest wait after the first failed read, and while
	// behind; the longest is six times that. Both double each time until
	// the wait is that of a process with which all is well. Default 2 s.
	Retry time.Duration
	// MinWatchPeriod is the shortest time between two watches of one
	// process; default 500 ms.
	MinWatchPeriod time.Duration
}

// Defaults of ReadOptions.
const (
	DefaultReadMean       = 10 * time.Minute
	DefaultStartSpread    = 4 * time.Second
	DefaultReadRetry      = 2 * time.Second
	DefaultMinWatchPeriod = 500 * time.Millisecond
)

// retrySpread is the longest wait before a retry over the shortest. It is
// wide since a change or an outage of the platform reaches the whole fleet in
// one moment: 3,910 processes that all read within a second would use up two
// seconds of the platform's whole allowance, and keep in step from then on.
const retrySpread = 6

// ReadPlan says when a process reads the platform by itself, beside what its
// peers tell it: rarely, so that one that is cut off from its peers recovers
// and the platform's allowance, which all readers share, is left to the
// watchers. It is not safe for concurrent use; a watcher has one for its
// watches and one for its reads.
type ReadPlan struct {
	opts    ReadOptions
	random  *rand.Rand
	retries int
}

// NewReadPlan returns a plan that draws its jitter from random.
func NewReadPlan(opts ReadOptions, random *rand.Rand) *ReadPlan {
	opts.Mean = cmp.Or(opts.Mean, DefaultReadMean)
	opts.StartSpread = cmp.Or(opts.StartSpread, DefaultStartSpread)
	opts.Retry = cmp.Or(opts.Retry, DefaultReadRetry)
	opts.MinWatchPeriod = cmp.Or(opts.MinWatchPeriod, DefaultMinWatchPeriod)
	return &ReadPlan{opts: opts, random: random}
}

// First returns the wait before the first read.
func (p *ReadPlan) First() time.Duration {
	return p.between(0, p.opts.StartSpread)
}

// Next returns the wait before the next read. err is the failure of the last
// one, whose failure.RetryAfter is kept to; behind is true while a peer has a
// higher revision in force or nothing is in force.
func (p *ReadPlan) Next(err error, behind bool) time.Duration {
	if err == nil && !behind {
		p.retries = 0
		return p.ordinary()
	}
	return p.retry(err)
}

// FallBehind returns the wait before an own read when a process that was up
// to date hears of a higher revision. It asks its peers meanwhile and reads
// only if they did not answer.
func (p *ReadPlan) FallBehind() time.Duration {
	p.retries = 0
	return p.retry(nil)
}

// NextWatch returns the wait before the next watch after one that took took.
// A platform whose copies disagree answers each watch at once with another
// revision; the wait keeps a watcher from spinning then.
func (p *ReadPlan) NextWatch(took time.Duration, err error) time.Duration {
	if err != nil {
		return p.retry(err)
	}
	p.retries = 0
	return max(0, p.opts.MinWatchPeriod-took)
}

// retry draws from a window that doubles with each retry until it would reach
// the plan's ordinary one.
func (p *ReadPlan) retry(err error) time.Duration {
	low := p.opts.Retry
	for range p.retries {
		low *= 2
		if low*(1+retrySpread)/2 >= p.opts.Mean {
			return max(failure.RetryAfter(err), p.ordinary())
		}
	}
	p.retries++
	earliest := max(low, failure.RetryAfter(err))
	return p.between(earliest, earliest+low*(retrySpread-1))
}

func (p *ReadPlan) ordinary() time.Duration {
	return p.between(p.opts.Mean/2, p.opts.Mean+p.opts.Mean/2)
}

// between draws evenly from low to high.
func (p *ReadPlan) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)+1))
}
