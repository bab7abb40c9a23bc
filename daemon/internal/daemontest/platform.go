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

// Text is the platform's configuration service. It can be down, stale, or
// leave watches without an answer.
type Text struct {
	mu         sync.Mutex
	doc        revision.Document
	changed    chan struct{} // closed at the next change
	down       bool
	muteWatch  bool
	reads      int
	watchCalls int
}

var _ revision.Source = (*Text)(nil)

// NewText returns a service that holds a text.
func NewText(number revision.Revision, text string) *Text {
	t := &Text{changed: make(chan struct{})}
	t.Set(number, text)
	return t
}

// Set replaces what the service holds, by a lower revision too.
func (t *Text) Set(number revision.Revision, text string) {
	t.change(func() { t.doc = revision.Document{Revision: number, Text: []byte(text)} })
}

// SetDown makes calls fail, those that wait included, or ends that.
func (t *Text) SetDown(down bool) { t.change(func() { t.down = down }) }

// MuteWatch makes watches wait for ever, whatever changes.
func (t *Text) MuteWatch() { t.change(func() { t.muteWatch = true }) }

func (t *Text) change(edit func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	edit()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Watches returns how many watches were made.
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
	return t.answer()
}

func (t *Text) answer() (revision.Document, error) {
	if t.down {
		return revision.Document{}, failure.Unavailable.New("the configuration service is down")
	}
	return t.doc, nil
}

// Watch implements revision.Source.
func (t *Text) Watch(ctx context.Context, after revision.Revision) (revision.Document, error) {
	t.mu.Lock()
	t.watchCalls++
	for t.muteWatch || !t.down && t.doc.Revision == after {
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
	return t.answer()
}

// DigestOf returns the digest of a text as processes tell it each other.
func DigestOf(text string) fleet.Digest {
	ginkgo.GinkgoHelper()
	parsed, err := fleettext.Load(revision.FileName, []byte(text))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return parsed.Digest()
}

// List is the platform's instance list.
type List struct {
	mu        sync.Mutex
	instances []fleet.Instance
}

var _ gossip.InstanceList = (*List)(nil)

// NewList returns a list of instances.
func NewList(instances ...fleet.Instance) *List { return &List{instances: instances} }

// Set replaces the list.
func (l *List) Set(instances ...fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = instances
}

// Add adds to the list.
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
