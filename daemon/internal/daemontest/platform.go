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
	s := &ConfigService{changed: make(chan struct{})}
	s.Set(number, text)
	return s
}

// Set replaces the configuration, also by one with a lower revision.
func (s *ConfigService) Set(number revision.Revision, text string) {
	s.update(func() { s.doc = revision.Document{Revision: number, Text: []byte(text)} })
}

// SetDown sets whether calls fail, including those that are waiting.
func (s *ConfigService) SetDown(down bool) { s.update(func() { s.down = down }) }

// BlockWatches makes all watches block until they are cancelled.
func (s *ConfigService) BlockWatches() { s.update(func() { s.blockWatches = true }) }

func (s *ConfigService) update(edit func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit()
	close(s.changed)
	s.changed = make(chan struct{})
}

// WatchCalls returns the number of calls of Watch.
func (s *ConfigService) WatchCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchCalls
}

// Read implements revision.Source.
func (s *ConfigService) Read(context.Context) (revision.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.response()
}

func (s *ConfigService) response() (revision.Document, error) {
	if s.down {
		return revision.Document{}, failure.Unavailable.New("configuration service is down")
	}
	return s.doc, nil
}

// Watch implements revision.Source.
func (s *ConfigService) Watch(ctx context.Context, after revision.Revision) (revision.Document, error) {
	s.mu.Lock()
	s.watchCalls++
	for s.blockWatches || !s.down && s.doc.Revision == after {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return revision.Document{}, failure.Timeout.Wrap(ctx.Err(), "watch")
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	return s.response()
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
