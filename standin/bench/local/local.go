// Package local holds what the measurements share: the platform's stand-ins
// and the assembly of the system's processes as parts of one process, each
// with its own sockets on loopback.
package local

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/oklog/run"

	"chivespindle.example/adapters/settings"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/process"
	"chivespindle.example/standin/pki"
	"chivespindle.example/standin/platform"
)

// AnyPort is a loopback address with a port of the kernel's choice.
var AnyPort = netip.MustParseAddrPort("127.0.0.1:0")

// Options of a Platform. Zero rates are not limited.
type Options struct {
	OriginBytesPerSecond   int64
	StoreBytesPerSecond    int64
	StoreRequestsPerSecond float64
	// WatchWait is how long a watch waits; default 30 s.
	WatchWait time.Duration
	// ListEvery is the mean pause between reads of the instance list;
	// default 1 s.
	ListEvery time.Duration
}

// Platform is the running stand-ins with an authority for certificates.
type Platform struct {
	Config    *platform.ConfigService
	Instances *platform.InstanceList
	Origin    *platform.WeightServer
	Store     *platform.WeightServer

	opts      Options
	dir       string
	authority *pki.Authority
	servers   []*platform.Server
}

// NewPlatform starts the stand-ins.
func NewPlatform(opts Options) (*Platform, error) {
	if opts.WatchWait == 0 {
		opts.WatchWait = 30 * time.Second
	}
	if opts.ListEvery == 0 {
		opts.ListEvery = time.Second
	}
	dir, err := os.MkdirTemp("", "chivespindle-bench-")
	if err != nil {
		return nil, failure.Unavailable.Wrap(err, "work folder")
	}
	authority, err := pki.NewAuthority()
	if err != nil {
		return nil, err
	}
	p := &Platform{
		Config:    platform.NewConfigService(platform.ConfigOptions{}),
		Instances: platform.NewInstanceList(platform.InstanceListOptions{}),
		Origin:    platform.NewWeightServer(platform.WeightOptions{BytesPerSecond: opts.OriginBytesPerSecond}),
		Store: platform.NewWeightServer(platform.WeightOptions{
			BytesPerSecond: opts.StoreBytesPerSecond, RequestsPerSecond: opts.StoreRequestsPerSecond}),
		opts:      opts,
		dir:       dir,
		authority: authority,
	}
	if err := p.start(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Platform) start() error {
	if err := p.authority.Save(p.dir); err != nil {
		return err
	}
	starts := []func() (*platform.Server, error){
		func() (*platform.Server, error) { return platform.Start(p.Config, AnyPort.String()) },
		func() (*platform.Server, error) { return platform.Start(p.Instances, AnyPort.String()) },
		func() (*platform.Server, error) { return platform.Start(p.Origin, AnyPort.String()) },
		func() (*platform.Server, error) { return platform.Start(p.Store, AnyPort.String()) },
	}
	for _, start := range starts {
		server, err := start()
		if err != nil {
			return err
		}
		p.servers = append(p.servers, server)
	}
	return nil
}

// Close stops the stand-ins and removes the keys.
func (p *Platform) Close() {
	for _, s := range p.servers {
		s.Stop()
	}
	_ = os.RemoveAll(p.dir)
}

// Settings returns the settings of one process, with a certificate of its
// own. The caller fills in what only its role has.
func (p *Platform) Settings(role fleet.Role, id fleet.InstanceID, place fleet.Place) (*settings.Settings, error) {
	files, err := p.authority.WriteFiles(filepath.Join(p.dir, string(id)), role, id)
	if err != nil {
		return nil, err
	}
	return &settings.Settings{
		Role:     role,
		Instance: settings.Instance{ID: id, Zone: place.Zone, Region: place.Region},
		Listen:   settings.Listen{Peer: AnyPort, Callers: AnyPort, Ops: AnyPort},
		Platform: settings.Platform{
			ConfigURL: p.servers[0].URL(), InstancesURL: p.servers[1].URL(),
			OriginURL: p.servers[2].URL(), StoreURL: p.servers[3].URL(),
			WatchWait: p.opts.WatchWait, ListInterval: p.opts.ListEvery, CallTimeout: 2 * time.Second,
		},
		TLS:    settings.TLS{Authority: files.Authority, Certificate: files.Certificate, Key: files.Key, ReloadInterval: time.Hour},
		Link:   settings.Link{WeightsShare: 0.8, StallTimeout: time.Second},
		Limits: settings.Limits{MaxInFlight: 1024, DrainTimeout: 10 * time.Second, MemoryLimit: 64 << 20},
		Trace:  settings.Trace{Spans: settings.SpansOff},
		Entry:  settings.Entry{AddressTTL: time.Second, MaxBody: 1 << 20, DefaultDeadline: 30 * time.Second},
		Agent:  settings.Agent{Stage: settings.StageEngine, MaxUploads: 3, MaxFetches: 4},
	}, nil
}

// PlaceOf spreads instance i over regions regions of zones zones each.
func PlaceOf(i, regions, zones int) fleet.Place {
	region := i % regions
	zone := i / regions % zones
	return fleet.Place{
		Region: fleet.Region(fmt.Sprintf("region-%d", region)),
		Zone:   fleet.Zone(fmt.Sprintf("zone-%d-%d", region, zone)),
	}
}

// Running is a process's parts at work.
type Running struct {
	stop  chan struct{}
	once  sync.Once
	ended chan struct{}
}

// Run starts the actors of a process.
func Run(actors []process.Actor) *Running {
	r := &Running{stop: make(chan struct{}), ended: make(chan struct{})}
	var group run.Group
	for _, actor := range actors {
		group.Add(actor.Execute, actor.Interrupt)
	}
	group.Add(func() error { <-r.stop; return nil }, func(error) { r.Interrupt() })
	go func() {
		_ = group.Run()
		close(r.ended)
	}()
	return r
}

// Interrupt asks all parts to end.
func (r *Running) Interrupt() { r.once.Do(func() { close(r.stop) }) }

// Stop asks all parts to end and waits for them.
func (r *Running) Stop() {
	r.Interrupt()
	<-r.ended
}
