package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"chivespindle.example/core/defaults"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
)

const (
	// MaxListBytes limits the encoded list. At about 250 bytes per entry it has
	// room for about 30,000 instances.
	MaxListBytes = 8 << 20

	instancesPath = "/v1/instances"
)

// InstanceListOptions configures an InstanceList. Zero fields select the defaults.
type InstanceListOptions struct {
	// BaseURL is the address of the service with an IP address as its host.
	BaseURL string
	// Client sends the requests; nil creates a new one.
	Client *http.Client
	// Timeout limits a call; the default is DefaultTimeout.
	Timeout time.Duration
}

// InstanceList reads the platform's list of instances. It implements
// gossip.InstanceList and is safe for concurrent use.
type InstanceList struct {
	*client
	timeout time.Duration

	mu   sync.Mutex
	last taggedList // last list that had an ETag
}

// taggedList is a list and its ETag.
type taggedList struct {
	etag      string
	instances []fleet.Instance
}

var _ gossip.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns a client of the list, or failure.Invalid if the options
// are invalid. It sends no request.
func NewInstanceList(options InstanceListOptions) (*InstanceList, error) {
	client, err := newClient(options.BaseURL, options.Client)
	if err != nil {
		return nil, err
	}
	return &InstanceList{client: client, timeout: defaults.Or(options.Timeout, DefaultTimeout)}, nil
}

// Instances returns the complete list or a failure, never a part: instances that
// are missing from the list would look as if they had ended.
//
// If the list has not changed since the last call, the response has no body. For
// 3,910 instances the body has 0.6 MB, so that otherwise every reader would use up
// its entire bandwidth allowance for a list that changes about once a minute.
func (l *InstanceList) Instances(ctx context.Context) ([]fleet.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	last := l.lastList()
	response, err := l.get(ctx, call{path: instancesPath, conditional: last.etag != "", etag: last.etag})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return slices.Clone(last.instances), nil
	}
	body, err := readBody(ctx, response, MaxListBytes, instancesPath)
	if err != nil {
		return nil, err
	}
	instances, err := decodeInstances(body)
	if err != nil {
		return nil, err
	}
	l.setLast(taggedList{etag: response.Header.Get("ETag"), instances: slices.Clone(instances)})
	return instances, nil
}

func (l *InstanceList) lastList() taggedList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

func (l *InstanceList) setLast(list taggedList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = list
}

// decodeInstances parses the JSON form of the list. Unknown fields are ignored, so
// that the platform can add fields.
func decodeInstances(body []byte) ([]fleet.Instance, error) {
	var instances []fleet.Instance
	if err := json.Unmarshal(body, &instances); err != nil {
		return nil, failure.Corrupt.Wrap(err, "decode instance list")
	}
	if instances == nil {
		return nil, failure.Corrupt.New("instance list is null, want an array")
	}
	seen := make(map[fleet.InstanceID]bool, len(instances))
	for position, instance := range instances {
		if err := checkInstance(instance); err != nil {
			return nil, failure.Corrupt.Wrap(err, "instance list, line %d", position)
		}
		if seen[instance.ID] {
			return nil, failure.Corrupt.New("instance list, line %d: %q occurs twice", position, instance.ID)
		}
		seen[instance.ID] = true
	}
	return instances, nil
}

func checkInstance(instance fleet.Instance) error {
	if instance.ID == "" {
		return failure.Invalid.New("id is empty")
	}
	if instance.Role != fleet.RoleEntry && instance.Role != fleet.RoleAgent {
		return failure.Invalid.New("%q has role %q, want %q or %q",
			instance.ID, instance.Role, fleet.RoleEntry, fleet.RoleAgent)
	}
	if !instance.PeerAddr.IsValid() || instance.PeerAddr.Port() == 0 {
		return failure.Invalid.New("%q has peer_addr %q, want an IP number and a port",
			instance.ID, instance.PeerAddr)
	}
	return nil
}
