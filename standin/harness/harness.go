// Package harness runs a small fleet on loopback: the stand-ins of the platform
// and of backend servers in this process, and the system's own programs as
// separate processes. The demo, the whole-path tests and the capacity
// measurements share it.
package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/pki"
	"chivespindle.example/standin/plainservice"
	"chivespindle.example/standin/platform"
)

// Options configure a Fleet.
type Options struct {
	// DaemonPath is the path of the chivespindled program.
	DaemonPath string
	// Dir is an existing directory for settings, keys and logs. If it is empty,
	// New creates a temporary directory, which Close removes.
	Dir string
	// OriginBytesPerSecond limits the link of the origin; 0 means no limit.
	OriginBytesPerSecond int64
	// LinkBytesPerSecond is the link rate in the settings of the agents; 0
	// means unknown.
	LinkBytesPerSecond int64
	// InstanceListLag is the time until a change becomes visible in the instance list.
	InstanceListLag time.Duration
	// TraceSpans makes the processes write trace spans to their logs.
	TraceSpans bool
	// Limits are further lines of the section [limits] in the settings of all processes.
	Limits string
}

// Fleet is a running set of stand-ins and processes.
type Fleet struct {
	opts      Options
	temporary bool // opts.Dir is removed by Close
	Config    *platform.ConfigService
	Instances *platform.InstanceList
	Origin    *platform.WeightServer
	Store     *platform.WeightServer
	authority *pki.Authority
	servers   []*platform.Server
	urls      map[string]string

	mu            sync.Mutex
	lastPort      int
	processes     map[fleet.InstanceID]*Process
	Engines       map[fleet.InstanceID]*engine.Engine
	PlainServices map[fleet.InstanceID]*plainservice.Service
}

// Names of the stand-ins whose URLs the settings contain.
const (
	configServer    = "config"
	instancesServer = "instances"
	originServer    = "origin"
	storeServer     = "store"
)

// storeRequestsPerSecond is the request limit of the store.
const storeRequestsPerSecond = 20

// New starts the stand-ins of the platform. The caller must Close the fleet.
func New(opts Options) (*Fleet, error) {
	authority, err := pki.NewAuthority()
	if err != nil {
		return nil, err
	}
	temporary := opts.Dir == ""
	if temporary {
		if opts.Dir, err = os.MkdirTemp("", "chivespindle-"); err != nil {
			return nil, failure.Unavailable.Wrap(err, "create the working directory")
		}
	}
	f := &Fleet{
		opts:          opts,
		temporary:     temporary,
		Config:        platform.NewConfigService(platform.ConfigOptions{}),
		Instances:     platform.NewInstanceList(platform.InstanceListOptions{Lag: opts.InstanceListLag}),
		Origin:        platform.NewWeightServer(platform.WeightOptions{BytesPerSecond: opts.OriginBytesPerSecond}),
		Store:         platform.NewWeightServer(platform.WeightOptions{RequestsPerSecond: storeRequestsPerSecond}),
		authority:     authority,
		lastPort:      rand.IntN(portCount),
		urls:          make(map[string]string),
		processes:     make(map[fleet.InstanceID]*Process),
		Engines:       make(map[fleet.InstanceID]*engine.Engine),
		PlainServices: make(map[fleet.InstanceID]*plainservice.Service),
	}
	if err := f.setUp(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) setUp() error {
	if err := f.authority.Save(f.opts.Dir); err != nil {
		return err
	}
	return f.startPlatform()
}

// Dir returns the directory of settings, keys and logs.
func (f *Fleet) Dir() string { return f.opts.Dir }

func (f *Fleet) startPlatform() error {
	handlers := []struct {
		name    string
		handler http.Handler
	}{
		{configServer, f.Config},
		{instancesServer, f.Instances},
		{originServer, f.Origin},
		{storeServer, f.Store},
	}
	for _, h := range handlers {
		server, err := platform.Start(h.handler, anyPort)
		if err != nil {
			return err
		}
		f.servers = append(f.servers, server)
		f.urls[h.name] = server.URL()
	}
	return nil
}

// AddModel generates a model and adds its weights to the origin and the store.
func (f *Fleet) AddModel(spec platform.ModelSpec) (platform.Model, error) {
	model, err := platform.NewModel(spec)
	if err != nil {
		return platform.Model{}, err
	}
	for _, server := range []*platform.WeightServer{f.Origin, f.Store} {
		if _, err := server.Add(model.Manifest, model.Chunks); err != nil {
			return platform.Model{}, err
		}
	}
	return model, nil
}

// Process returns the process of an instance, or nil if none was started.
func (f *Fleet) Process(id fleet.InstanceID) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[id]
}

// Close kills the running processes and stops the stand-ins.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.Kill()
	}
	for _, e := range f.Engines {
		_ = e.Close()
	}
	for _, p := range f.PlainServices {
		_ = p.Close()
	}
	for _, s := range f.servers {
		s.Stop()
	}
	if f.temporary {
		_ = os.RemoveAll(f.opts.Dir)
	}
}

// anyPort lets the operating system choose a free port.
const anyPort = "127.0.0.1:0"

// Processes listen on ports below the ephemeral range of the operating system.
// Any other program on the machine could be given an ephemeral port between its
// choice here and the start of the process.
const (
	lowestPort = 10000
	portCount  = 20000
)

// freePorts returns n ports that are currently free for both TCP and UDP. A
// fleet takes the ports in sequence, so that it does not choose a port again
// before the process that was given it listens. The sequence starts at a random
// port, since other tests may choose ports at the same time.
func (f *Fleet) freePorts(n int) ([]netip.AddrPort, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ports []netip.AddrPort
	for range portCount {
		if len(ports) == n {
			return ports, nil
		}
		f.lastPort = (f.lastPort + 1) % portCount
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(lowestPort+f.lastPort))
		if isFree(addr) {
			ports = append(ports, addr)
		}
	}
	return nil, failure.Unavailable.New("fewer than %d free ports on 127.0.0.1", n)
}

func isFree(addr netip.AddrPort) bool {
	tcp, err := net.Listen("tcp", addr.String())
	if err != nil {
		return false
	}
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp", addr.String())
	if err != nil {
		return false
	}
	return udp.Close() == nil
}

// writeFile writes a file to the directory of the fleet and returns its path.
func (f *Fleet) writeFile(name, text string) (string, error) {
	path := filepath.Join(f.opts.Dir, name)
	const ownerOnly = 0o600
	if err := os.WriteFile(path, []byte(text), ownerOnly); err != nil {
		return "", failure.Unavailable.Wrap(err, "write %s", path)
	}
	return path, nil
}

func (f *Fleet) commonSettings(id fleet.InstanceID, place fleet.Place, role fleet.Role) (string, error) {
	files, err := f.authority.WriteFiles(filepath.Join(f.opts.Dir, string(id)), role, id)
	if err != nil {
		return "", err
	}
	spans := "off"
	if f.opts.TraceSpans {
		spans = "log"
	}
	return fmt.Sprintf(`[instance]
id = %s
zone = %s
region = %s
%%s
[listen]
%%s
[platform]
config_url = %s
instances_url = %s
origin_url = %s
store_url = %s
watch_wait = 5s
list_every = 200ms
[tls]
authority = %s
certificate = %s
key = %s
[trace]
spans = %s
[limits]
drain_timeout = 10s
%s
`, id, place.Zone, place.Region,
		f.urls[configServer], f.urls[instancesServer], f.urls[originServer], f.urls[storeServer],
		files.Authority, files.Certificate, files.Key, spans, f.opts.Limits), nil
}
