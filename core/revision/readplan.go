package revision

import (
	"cmp"
	"math/rand/v2"
	"time"

	"chivespindle.example/core/failure"
)

// ReadOptions of a ReadPlan. A zero field takes its default.
type ReadOptions struct {
	// Mean is the mean interval between a process's reads in normal operation;
	// default 10 min. 3,910 processes then make 6.5 calls per second in total.
	Mean time.Duration
	// StartSpread is the time over which first reads are spread; default 4 s,
	// so that a fleet that starts all at once makes about 1,000 calls per
	// second.
	StartSpread time.Duration
	// Retry is the minimum wait after the first failed read, and while behind;
	// the maximum is six times as long. Both double with each retry until the
	// wait reaches that of normal operation. Default 2 s.
	Retry time.Duration
	// MinWatchPeriod is the minimum time between the starts of two watches of
	// one process; default 500 ms.
	MinWatchPeriod time.Duration
}

// Defaults of ReadOptions.
const (
	DefaultReadMean       = 10 * time.Minute
	DefaultStartSpread    = 4 * time.Second
	DefaultReadRetry      = 2 * time.Second
	DefaultMinWatchPeriod = 500 * time.Millisecond
)

// retrySpread is the ratio of the maximum to the minimum wait before a retry.
// It is wide because a change or an outage of the platform reaches the whole
// fleet at once: 3,910 processes that all read within one second would use two
// seconds of the platform's total rate limit and stay synchronized from then
// on.
const retrySpread = 6

// ReadPlan schedules the reads of the platform that a process makes itself, in
// addition to the updates from its peers. They are rare: they let a process
// recover that is cut off from its peers, and leave the platform's rate limit,
// which all readers share, to the watchers. A ReadPlan is not safe for
// concurrent use; a watcher has one for its watches and one for its reads.
type ReadPlan struct {
	opts    ReadOptions
	random  *rand.Rand
	retries int
}

// NewReadPlan returns a plan that takes its jitter from random.
func NewReadPlan(opts ReadOptions, random *rand.Rand) *ReadPlan {
	opts.Mean = cmp.Or(opts.Mean, DefaultReadMean)
	opts.StartSpread = cmp.Or(opts.StartSpread, DefaultStartSpread)
	opts.Retry = cmp.Or(opts.Retry, DefaultReadRetry)
	opts.MinWatchPeriod = cmp.Or(opts.MinWatchPeriod, DefaultMinWatchPeriod)
	return &ReadPlan{opts: opts, random: random}
}

// First returns the wait before the first read.
func (p *ReadPlan) First() time.Duration {
	return p.uniform(0, p.opts.StartSpread)
}

// Next returns the wait before the next read. err is the error of the last one,
// whose failure.RetryAfter is respected; behind is true while a higher revision
// is active in a peer or no configuration is active.
func (p *ReadPlan) Next(err error, behind bool) time.Duration {
	if err == nil && !behind {
		p.retries = 0
		return p.normalWait()
	}
	return p.retryWait(err)
}

// NextWhenBehind returns the wait before a read when a process that was up to
// date learns of a higher revision. Meanwhile it asks its peers, and reads only
// if they did not answer.
func (p *ReadPlan) NextWhenBehind() time.Duration {
	p.retries = 0
	return p.retryWait(nil)
}

// NextWatch returns the wait before the next watch after one that lasted took.
// A platform with inconsistent copies answers each watch immediately with
// another revision; the wait then keeps a watcher from busy looping.
func (p *ReadPlan) NextWatch(took time.Duration, err error) time.Duration {
	if err != nil {
		return p.retryWait(err)
	}
	p.retries = 0
	return max(0, p.opts.MinWatchPeriod-took)
}

// retryWait picks a wait from a window that doubles with each retry until it
// would reach that of normal operation.
func (p *ReadPlan) retryWait(err error) time.Duration {
	low := p.opts.Retry
	for range p.retries {
		low *= 2
		if low*(1+retrySpread)/2 >= p.opts.Mean {
			return max(failure.RetryAfter(err), p.normalWait())
		}
	}
	p.retries++
	earliest := max(low, failure.RetryAfter(err))
	return p.uniform(earliest, earliest+low*(retrySpread-1))
}

func (p *ReadPlan) normalWait() time.Duration {
	return p.uniform(p.opts.Mean/2, p.opts.Mean+p.opts.Mean/2)
}

// uniform returns a uniformly distributed duration from low to high.
func (p *ReadPlan) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)+1))
}
