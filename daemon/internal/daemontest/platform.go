package daemontest

import (
	"context"
	"slices"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
)

// Text is a fake of the platform's configuration service. It can be down, hold
// an old revision, or leave watches without a response.
type Text struct {
	mu           sync.Mutex
	doc          revision.Document
	changed      chan struct{} // closed at the next change
	down         bool
	blockWatches bool
	reads        int
	watchCalls   int
}

var _ revision.Source = (*Text)(nil)

// NewText returns a service that holds a configuration.
func NewText(number revision.Revision, text string) *Text {
	t := &Text{changed: make(chan struct{})}
	t.Set(number, text)
	return t
}

// Set replaces the configuration, also by one with a lower revision.
func (t *Text) Set(number revision.Revision, text string) {
	t.update(func() { t.doc = revision.Document{Revision: number, Text: []byte(text)} })
}

// SetDown sets whether calls fail, including those that are waiting.
func (t *Text) SetDown(down bool) { t.update(func() { t.down = down }) }

// MuteWatch makes all watches block until they are cancelled.
func (t *Text) MuteWatch() { t.update(func() { t.blockWatches = true }) }

func (t *Text) update(edit func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	edit()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Watches returns the number of calls of Watch.
func (t *Text) Watches() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.watchCalls
}

// Read implements revision.Source.
func (t *Text) Read(context.Context) (revision.Document, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	return t.response()
}

func (t *Text) response() (revision.Document, error) {
	if t.down {
		return revision.Document{}, failure.Unavailable.New("configuration service is down")
	}
	return t.doc, nil
}

// Watch implements revision.Source.
func (t *Text) Watch(ctx context.Context, after revision.Revision) (revision.Document, error) {
	t.mu.Lock()
	t.watchCalls++
	for t.blockWatches || !t.down && t.doc.Revision == after {
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return revision.Document{}, failure.Timeout.Wrap(ctx.Err(), "watch")
		}
		t.mu.Lock()
	}
	defer t.mu.Unlock()
	return t.response()
}

// DigestOf returns the digest of a configuration, as processes report it to each
// other.
func DigestOf(text string) fleet.Digest {
	ginkgo.GinkgoHelper()
	parsed, err := fleettext.Load(revision.FileName, []byte(text))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return parsed.Digest()
}

// List is a fake of the platform's instance list.
type List struct {
	mu        sync.Mutex
	instances []fleet.Instance
}

var _ gossip.InstanceList = (*List)(nil)

// NewList returns a list with the given instances.
func NewList(instances ...fleet.Instance) *List { return &List{instances: instances} }

// Set replaces the list.
func (l *List) Set(instances ...fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = instances
}

// Add adds instances to the list.
func (l *List) Add(instances ...fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = append(l.instances, instances...)
}

// Instances implements gossip.InstanceList.
func (l *List) Instances(context.Context) ([]fleet.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.instances), nil
}
