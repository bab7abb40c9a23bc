// Package entryload measures what the request path costs: one entry and its
// agents as programs of their own, before stand-in engines, on loopback.
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
	// quick answers without taking time, so that only the path is seen.
	quick fleet.ServiceName = "workshop-assist"
	// paced answers one token each slopes.TokenTime, as the target's engines.
	paced fleet.ServiceName = "spindle-pool"

	pacedServers = 4
	slots        = 512
	settle       = 30 * time.Second
	pollEvery    = 20 * time.Millisecond
)

var place = fleet.Place{Zone: "apapa-hall", Region: "lagos"}

// Fleet is one entry with its agents and engines.
type Fleet struct {
	*harness.Fleet
	entry *harness.Process
	quick *harness.Process
	paced []*harness.Process
}

// New starts the fleet. daemon is the path of chivespindled.
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

// waitServing waits until all engines serve and each service has answered.
func (f *Fleet) waitServing(v fleet.Version) error {
	for id, e := range f.Engines {
		if err := until(settle, func() bool { return e.Status().Loaded == v }); err != nil {
			return failure.Timeout.Wrap(err, "%s does not serve", id)
		}
	}
	for _, service := range []fleet.ServiceName{quick, paced} {
		err := until(settle, func() bool {
			_, err := f.ask(service, 1)
			return err == nil
		})
		if err != nil {
			return failure.Timeout.Wrap(err, "%s does not answer", service)
		}
	}
	return nil
}

// until looks again and again whether done holds.
func until(limit time.Duration, done func() bool) error {
	deadline := time.Now().Add(limit)
	for !done() {
		if time.Now().After(deadline) {
			return failure.Timeout.New("waited %s", limit)
		}
		time.Sleep(pollEvery)
	}
	return nil
}

func (f *Fleet) entryAddr() netip.AddrPort { return f.entry.Instance.CallerAddr }
