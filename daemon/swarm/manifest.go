package swarm

import (
	"context"
	"math/rand/v2"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
)

// Retry delays for fetching a manifest. A digest that no source has, for example
// after an operator's typing error, is requested until the configuration is
// corrected; hundreds of agents must not do that at full speed.
const (
	manifestRetryMin = 100 * time.Millisecond
	manifestRetryMax = 2 * time.Second
	sourceRetryMin   = 200 * time.Millisecond
	sourceRetryMax   = 15 * time.Second
	maxDoublings     = 16
)

// manifestRetryDelay returns the delay after a failed attempt to fetch the
// manifest.
func manifestRetryDelay(attempt int) time.Duration {
	return min(manifestRetryMax, manifestRetryMin<<min(attempt/2, maxDoublings))
}

// manifestSearch is the state of one search for a manifest.
type manifestSearch struct {
	download  *download
	started   time.Time
	upstreams []*upstream
}

// upstream is the origin or the store, with its backoff after failures.
type upstream struct {
	weights.Source
	failures    int
	pausedUntil time.Time
}

func newManifestSearch(d *download) *manifestSearch {
	s := &manifestSearch{download: d, started: time.Now(), upstreams: []*upstream{{Source: d.swarm.opts.Origin}}}
	if d.swarm.opts.Store != nil {
		s.upstreams = append(s.upstreams, &upstream{Source: d.swarm.opts.Store})
	}
	return s
}

// try requests the manifest from one upstream source, if this member's delay has
// passed and a source is due, and then from some peers.
func (s *manifestSearch) try(attempt int) ([]byte, error) {
	d := s.download
	var members []spread.Member
	if err := d.swarm.opts.Loop.Do(d.ctx, func(time.Time) { members = d.swarm.members }); err != nil {
		return nil, err
	}
	ranked := rankMembers(d.version.Manifest, members)
	delay := time.Duration(min(rankOf(ranked, d.swarm.opts.Self.ID)/manifestFetchersPerStep, manifestMaxDelays)) * manifestRankDelay
	if time.Since(s.started) >= delay {
		raw, err := s.tryUpstream()
		if err == nil {
			return raw, nil
		}
	}
	return d.manifestFromPeers(withoutSelf(ranked, d.swarm.opts.Self.ID), attempt)
}

// tryUpstream requests the manifest from the source whose backoff ended first,
// if any is due.
func (s *manifestSearch) tryUpstream() ([]byte, error) {
	due := s.upstreams[0]
	for _, other := range s.upstreams {
		if other.pausedUntil.Before(due.pausedUntil) {
			due = other
		}
	}
	if time.Now().Before(due.pausedUntil) {
		return nil, failure.Unavailable.New("origin and store are in backoff after failures")
	}
	manifest := s.download.version.Manifest
	raw, err := due.Manifest(s.download.ctx, manifest)
	if err == nil {
		_, err = weights.Decode(raw, manifest)
	}
	if err != nil {
		due.backOff(failure.RetryAfter(err))
	}
	return raw, err
}

// backOff pauses the source for the longer of the delay that it requested and an
// exponential backoff, plus jitter.
func (r *upstream) backOff(requested time.Duration) {
	backoff := min(sourceRetryMax, sourceRetryMin<<min(r.failures, maxDoublings))
	r.failures++
	wait := max(requested, backoff)
	r.pausedUntil = time.Now().Add(wait + rand.N(wait/2+1))
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
