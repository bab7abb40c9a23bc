// Package requests measures what callers observe while servers fail. It runs
// separate processes on loopback; the callers and the stand-ins count results.
package requests

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/harness"
	"chivespindle.example/standin/plainservice"
	"chivespindle.example/standin/platform"
)

// Sizes of the measurement: six engines that generate 16 tokens in 80 ms, for
// four requests at the same time.
const (
	model fleet.ServiceName = "spindle-pool"
	plain fleet.ServiceName = "workshop-api"

	engines       = 6
	plainServices = 2
	slots         = 4
	queue         = 4
	tokens        = 16
	tokenTime     = 5 * time.Millisecond

	settleTimeout = 30 * time.Second
)

var places = []fleet.Place{
	{Zone: "apapa-hall", Region: "lagos"},
	{Zone: "apapa-hall-2", Region: "lagos"},
}

// Fleet is a running fleet under measurement.
type Fleet struct {
	*harness.Fleet
	entries          []netip.AddrPort
	publishedVersion string
}

// NewFleet starts two entries, six engines and two plain services with their
// agents. daemon is the path of the chivespindled binary.
func NewFleet(daemon string) (*Fleet, error) {
	h, err := harness.New(harness.Options{DaemonPath: daemon, InstanceListLag: time.Second})
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
	f.publishedVersion = harness.FormatVersion(m.Version)
	f.Config.SetConfig([]byte(fmt.Sprintf("[fleet]\nname = requests\n[version r1]\nmanifest = %s\n[service %s]\nkind = model\nversion = r1\n[service %s]\nkind = plain\n",
		m.Version.Manifest, model, plain)))
	for i, place := range places {
		p, err := f.StartEntry(fleet.InstanceID(fmt.Sprintf("entry-%d", i+1)), place)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, p.Instance.CallerAddr)
	}
	for i := range engines {
		spec := harness.AgentSpec{Service: model, Engine: &engine.Options{Slots: slots, MaxWaiting: queue, TokenTime: tokenTime}}
		if _, err := f.StartAgent(engineID(i), places[i%len(places)], spec); err != nil {
			return err
		}
	}
	for i := range plainServices {
		spec := harness.AgentSpec{Service: plain, Plain: &plainservice.Options{Delay: tokenTime}}
		if _, err := f.StartAgent(fleet.InstanceID(fmt.Sprintf("plain-%d", i+1)), places[i%len(places)], spec); err != nil {
			return err
		}
	}
	return f.waitServing(m.Version)
}

func engineID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("engine-%d", i+1)) }

// waitServing waits until all engines serve v and requests are answered.
func (f *Fleet) waitServing(v fleet.Version) error {
	deadline := time.Now().Add(settleTimeout)
	for _, e := range f.Engines {
		for e.Status().Loaded != v {
			if time.Now().After(deadline) {
				return failure.Timeout.New("not all engines serve the version after %s", settleTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return f.waitResponses(deadline)
}

// waitResponses sends requests until enough of them are answered.
func (f *Fleet) waitResponses(deadline time.Time) error {
	load := harness.StartLoad(f.client(), f.spec(1))
	defer load.Stop()
	const enough = 10
	for load.Tally().Correct < enough {
		if time.Now().After(deadline) {
			return failure.Timeout.New("requests are not answered after %s", settleTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func (f *Fleet) client() *callerclient.Client {
	return callerclient.New(callerclient.Options{Seeds: f.entries})
}

func (f *Fleet) spec(callers int) harness.LoadSpec {
	return harness.LoadSpec{
		ModelServices: []fleet.ServiceName{model, model, model, model}, PlainServices: []fleet.ServiceName{plain},
		Callers: callers, MaxTokens: tokens, Deadline: 5 * time.Second,
		IsPublished: func(version string) bool { return version == f.publishedVersion },
	}
}

// DaemonPath returns the path of the daemon that make build writes to bin.
func DaemonPath(bin string) string { return filepath.Join(bin, "chivespindled") }
