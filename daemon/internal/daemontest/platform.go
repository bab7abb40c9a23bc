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

// ConfigService is a fake of the platform's configuration service. It can be
// down, hold an old revision, or leave watches without a response.
type ConfigService struct {
	mu           sync.Mutex
	doc          revision.Document
	changed      chan struct{} // closed at the next change
	down         bool
	blockWatches bool
	reads        int
	watchCalls   int
}

var _ revision.Source = (*ConfigService)(nil)

// NewConfigService returns a service that holds a configuration.
func NewConfigService(number revision.Revision, text string) *ConfigService {
	t := &ConfigService{changed: make(chan struct{})}
	t.Set(number, text)
	return t
}

// Set replaces the configuration, also by one with a lower revision.
func (t *ConfigService) Set(number revision.Revision, text string) {
	t.update(func() { t.doc = revision.Document{Revision: number, Text: []byte(text)} })
}

// SetDown sets whether calls fail, including those that are waiting.
func (t *ConfigService) SetDown(down bool) { t.update(func() { t.down = down }) }

// BlockWatches makes all watches block until they are cancelled.
func (t *ConfigService) BlockWatches() { t.update(func() { t.blockWatches = true }) }

func (t *ConfigService) update(edit func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	edit()
	close(t.changed)
	t.changed = make(chan struct{})
}

// WatchCalls returns the number of calls of Watch.
func (t *ConfigService) WatchCalls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.watchCalls
}

// Read implements revision.Source.
func (t *ConfigService) Read(context.Context) (revision.Document, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	return t.response()
}

func (t *ConfigService) response() (revision.Document, error) {
	if t.down {
		return revision.Document{}, failure.Unavailable.New("configuration service is down")
	}
	return t.doc, nil
}

// Watch implements revision.Source.
func (t *ConfigService) Watch(ctx context.Context, after revision.Revision) (revision.Document, error) {
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

// InstanceList is a fake of the platform's instance list.
type InstanceList struct {
	mu        sync.Mutex
	instances []fleet.Instance
}

var _ gossip.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns a list with the given instances.
func NewInstanceList(instances ...fleet.Instance) *InstanceList {
	return &InstanceList{instances: instances}
}

// Set replaces the list.
func (l *InstanceList) Set(instances ...fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = instances
}

// Add adds instances to the list.
func (l *InstanceList) Add(instances ...fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = append(l.instances, instances...)
}

// Instances implements gossip.InstanceList.
func (l *InstanceList) Instances(context.Context) ([]fleet.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.instances), nil
}
