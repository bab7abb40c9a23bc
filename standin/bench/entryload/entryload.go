// Package entryload measures the cost of the request path: one entry and its
// agents as separate processes on loopback, with stand-in engines.
package entryload

import (
	"fmt"
	"net/netip"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/bench/slopes"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/harness"
	"chivespindle.example/standin/platform"
)

const (
	// quick responds without delay, so that only the request path is measured.
	quick fleet.ServiceName = "workshop-assist"
	// paced generates one token per slopes.TokenTime, like the target's engines.
	paced fleet.ServiceName = "spindle-pool"

	pacedServers  = 4
	slots         = 512
	settleTimeout = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
)

var place = fleet.Place{Zone: "apapa-hall", Region: "lagos"}

// Fleet is one entry with its agents and engines.
type Fleet struct {
	*harness.Fleet
	entry *harness.Process
	quick *harness.Process
	paced []*harness.Process
}

// New starts the fleet. daemon is the path of the chivespindled binary.
func New(daemon string) (*Fleet, error) {
	h, err := harness.New(harness.Options{DaemonPath: daemon})
	if err != nil {
		return nil, err
	}
	f := &Fleet{Fleet: h}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	const modelBytes, chunkBytes = 1 << 20, 128 << 10
	m, err := f.AddModel(platform.ModelSpec{Name: "r1", Bytes: modelBytes, ChunkBytes: chunkBytes, Seed: 1})
	if err != nil {
		return err
	}
	f.Config.SetConfig(fmt.Appendf(nil, "[fleet]\nname = entry\n[version r1]\nmanifest = %s\n[service %s]\nkind = model\nversion = r1\n[service %s]\nkind = model\nversion = r1\n",
		m.Version.Manifest, quick, paced))
	if f.entry, err = f.StartEntry("entry-1", place); err != nil {
		return err
	}
	if f.quick, err = f.agent("quick-1", quick, 0); err != nil {
		return err
	}
	for i := range pacedServers {
		p, err := f.agent(fleet.InstanceID(fmt.Sprintf("paced-%d", i+1)), paced, slopes.TokenTime)
		if err != nil {
			return err
		}
		f.paced = append(f.paced, p)
	}
	return f.waitServing(m.Version)
}

func (f *Fleet) agent(id fleet.InstanceID, service fleet.ServiceName, tokenTime time.Duration) (*harness.Process, error) {
	return f.StartAgent(id, place, harness.AgentSpec{Service: service,
		Engine: &engine.Options{Slots: slots, MaxWaiting: slots, TokenTime: tokenTime}})
}

// waitServing waits until all engines serve v and each service has responded.
func (f *Fleet) waitServing(v fleet.Version) error {
	for id, e := range f.Engines {
		if err := waitUntil(settleTimeout, func() bool { return e.Status().Loaded == v }); err != nil {
			return failure.Timeout.Wrap(err, "engine of %s does not serve the version", id)
		}
	}
	for _, service := range []fleet.ServiceName{quick, paced} {
		err := waitUntil(settleTimeout, func() bool {
			_, err := f.send(service, 1)
			return err == nil
		})
		if err != nil {
			return failure.Timeout.Wrap(err, "service %s does not respond", service)
		}
	}
	return nil
}

// waitUntil polls done until it returns true or limit has passed.
func waitUntil(limit time.Duration, done func() bool) error {
	deadline := time.Now().Add(limit)
	for !done() {
		if time.Now().After(deadline) {
			return failure.Timeout.New("condition not met within %s", limit)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (f *Fleet) entryAddr() netip.AddrPort { return f.entry.Instance.CallerAddr }
