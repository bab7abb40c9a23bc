// Package local holds what the benchmarks share: the stand-ins for the platform
// and the means to run the system's processes inside one process, each with its
// own sockets on loopback.
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

// AnyPort is a loopback address whose port the kernel chooses.
var AnyPort = netip.MustParseAddrPort("127.0.0.1:0")

// Options are the options of a Platform. A rate of zero is unlimited.
type Options struct {
	OriginBytesPerSecond   int64
	StoreBytesPerSecond    int64
	StoreRequestsPerSecond float64
	// WatchWait is the long-poll timeout of a watch; default 30 s.
	WatchWait time.Duration
	// ListInterval is the mean interval between reads of the instance list;
	// default 1 s.
	ListInterval time.Duration
}

// Platform runs the stand-ins for the platform, with a certificate authority.
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
	if opts.ListInterval == 0 {
		opts.ListInterval = time.Second
	}
	dir, err := os.MkdirTemp("", "chivespindle-bench-")
	if err != nil {
		return nil, failure.Unavailable.Wrap(err, "create the work directory")
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
	starters := []func() (*platform.Server, error){
		func() (*platform.Server, error) { return platform.Start(p.Config, AnyPort.String()) },
		func() (*platform.Server, error) { return platform.Start(p.Instances, AnyPort.String()) },
		func() (*platform.Server, error) { return platform.Start(p.Origin, AnyPort.String()) },
		func() (*platform.Server, error) { return platform.Start(p.Store, AnyPort.String()) },
	}
	for _, start := range starters {
		server, err := start()
		if err != nil {
			return err
		}
		p.servers = append(p.servers, server)
	}
	return nil
}

// Close stops the stand-ins and removes the work directory with the keys.
func (p *Platform) Close() {
	for _, s := range p.servers {
		s.Stop()
	}
	_ = os.RemoveAll(p.dir)
}

// Settings returns the settings of one process, with its own certificate. The
// caller sets the fields that are specific to the role.
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
			WatchWait: p.opts.WatchWait, ListInterval: p.opts.ListInterval, CallTimeout: 2 * time.Second,
		},
		TLS:    settings.TLS{Authority: files.Authority, Certificate: files.Certificate, Key: files.Key, ReloadInterval: time.Hour},
		Link:   settings.Link{WeightsShare: 0.8, StallTimeout: time.Second},
		Limits: settings.Limits{MaxInFlight: 1024, DrainTimeout: 10 * time.Second, MemoryLimit: 64 << 20},
		Trace:  settings.Trace{Spans: settings.SpansOff},
		Entry:  settings.Entry{AddressTTL: time.Second, MaxBody: 1 << 20, DefaultDeadline: 30 * time.Second},
		Agent:  settings.Agent{Stage: settings.StageEngine, MaxUploads: 3, MaxFetches: 4},
	}, nil
}

// PlaceOf returns the place of instance i; instances are distributed evenly
// over the given number of regions with the given number of zones each.
func PlaceOf(i, regions, zones int) fleet.Place {
	region := i % regions
	zone := i / regions % zones
	return fleet.Place{
		Region: fleet.Region(fmt.Sprintf("region-%d", region)),
		Zone:   fleet.Zone(fmt.Sprintf("zone-%d-%d", region, zone)),
	}
}

// Running is the running actors of one process.
type Running struct {
	stop  chan struct{}
	once  sync.Once
	ended chan struct{}
}

// Run starts the actors of a process in the background.
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

// Interrupt requests all actors to stop.
func (r *Running) Interrupt() { r.once.Do(func() { close(r.stop) }) }

// Stop requests all actors to stop and waits for them.
func (r *Running) Stop() {
	r.Interrupt()
	<-r.ended
}
