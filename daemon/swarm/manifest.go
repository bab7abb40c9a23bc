package swarm

import (
	"context"
	"math/rand/v2"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
)

// Pauses of the search for a manifest. A digest that nobody has, as after a
// slip of the operator, is searched for until the text is mended; hundreds of
// agents must not do that at full speed.
const (
	manifestRetry    = 100 * time.Millisecond
	manifestRetryMax = 2 * time.Second
	sourceRetryMin   = 200 * time.Millisecond
	sourceRetryMax   = 15 * time.Second
	maxDoublings     = 16
)

// manifestPause is the wait after a try to get the manifest.
func manifestPause(attempt int) time.Duration {
	return min(manifestRetryMax, manifestRetry<<min(attempt/2, maxDoublings))
}

// manifestSearch is one search for a manifest.
type manifestSearch struct {
	gather  *gather
	started time.Time
	sources []*restingSource
}

// restingSource is the origin or the store, which rests after a failure.
type restingSource struct {
	weights.Source
	failures int
	until    time.Time
}

func newManifestSearch(g *gather) *manifestSearch {
	s := &manifestSearch{gather: g, started: time.Now(), sources: []*restingSource{{Source: g.swarm.opts.Origin}}}
	if g.swarm.opts.Store != nil {
		s.sources = append(s.sources, &restingSource{Source: g.swarm.opts.Store})
	}
	return s
}

// ask asks one source, if it is this member's turn and one is due, and then
// some peers.
func (s *manifestSearch) ask(attempt int) ([]byte, error) {
	g := s.gather
	var members []spread.Member
	if err := g.swarm.opts.Loop.Do(g.ctx, func(time.Time) { members = g.swarm.members }); err != nil {
		return nil, err
	}
	ranked := rankMembers(g.version.Manifest, members)
	turn := time.Duration(min(rankOf(ranked, g.swarm.opts.Self.ID)/manifestAskers, manifestMaxTurns)) * manifestTurn
	if time.Since(s.started) >= turn {
		raw, err := s.askSource()
		if err == nil {
			return raw, nil
		}
	}
	return g.manifestFromPeers(others(ranked, g.swarm.opts.Self.ID), attempt)
}

// askSource asks the source that has rested longest, if any is due.
func (s *manifestSearch) askSource() ([]byte, error) {
	due := s.sources[0]
	for _, other := range s.sources {
		if other.until.Before(due.until) {
			due = other
		}
	}
	if time.Now().Before(due.until) {
		return nil, failure.Unavailable.New("the origin and the store rest")
	}
	manifest := s.gather.version.Manifest
	raw, err := due.Manifest(s.gather.ctx, manifest)
	if err == nil {
		_, err = weights.Decode(raw, manifest)
	}
	if err != nil {
		due.rest(failure.RetryAfter(err))
	}
	return raw, err
}

// rest keeps to the pause that the source asked for, and else doubles its own.
func (r *restingSource) rest(asked time.Duration) {
	own := min(sourceRetryMax, sourceRetryMin<<min(r.failures, maxDoublings))
	r.failures++
	wait := max(asked, own)
	r.until = time.Now().Add(wait + rand.N(wait/2+1))
}

// pause waits for d and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
