// Package harness starts a small fleet on loopback: the platform's stand-ins
// and backend servers in this process, and the system's own programs as
// separate processes. The demo, the whole-path tests and the capacity
// measurement share it.
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

// Options of a Fleet.
type Options struct {
	// Daemon is the path of the chivespindled program.
	Daemon string
	// Dir takes settings, keys and logs; it must exist. If it is empty, a temporary
	// folder takes them until the Fleet is closed.
	Dir string
	// OriginBytesPerSecond limits the origin's link; 0: not limited.
	OriginBytesPerSecond int64
	// LinkBytesPerSecond is put into the agents' settings; 0: unknown.
	LinkBytesPerSecond int64
	// ListLag is how late the instance list shows changes.
	ListLag time.Duration
	// Spans writes trace spans to the logs.
	Spans bool
}

// Fleet is a running set of stand-ins and processes.
type Fleet struct {
	opts      Options
	temporary bool // opts.Dir is removed at the end
	Config    *platform.ConfigService
	Instances *platform.InstanceList
	Origin    *platform.WeightServer
	Store     *platform.WeightServer
	authority *pki.Authority
	servers   []*platform.Server
	urls      map[string]string

	mu        sync.Mutex
	lastPort  int
	processes map[fleet.InstanceID]*Process
	Engines   map[fleet.InstanceID]*engine.Engine
	Plain     map[fleet.InstanceID]*plainservice.Service
}

// Names of the stand-ins that the settings point to.
const (
	configServer    = "config"
	instancesServer = "instances"
	originServer    = "origin"
	storeServer     = "store"
)

// storeRequestRate is the store's request limit for a loopback fleet.
const storeRequestRate = 20

// New starts the stand-ins. The caller must Close the fleet.
func New(opts Options) (*Fleet, error) {
	authority, err := pki.NewAuthority()
	if err != nil {
		return nil, err
	}
	temporary := opts.Dir == ""
	if temporary {
		if opts.Dir, err = os.MkdirTemp("", "chivespindle-"); err != nil {
			return nil, failure.Unavailable.Wrap(err, "work folder")
		}
	}
	f := &Fleet{
		opts:      opts,
		temporary: temporary,
		Config:    platform.NewConfigService(platform.ConfigOptions{}),
		Instances: platform.NewInstanceList(platform.InstanceListOptions{Lag: opts.ListLag}),
		Origin:    platform.NewWeightServer(platform.WeightOptions{BytesPerSecond: opts.OriginBytesPerSecond}),
		Store:     platform.NewWeightServer(platform.WeightOptions{RequestsPerSecond: storeRequestRate}),
		authority: authority,
		lastPort:  rand.IntN(portChoices),
		urls:      make(map[string]string),
		processes: make(map[fleet.InstanceID]*Process),
		Engines:   make(map[fleet.InstanceID]*engine.Engine),
		Plain:     make(map[fleet.InstanceID]*plainservice.Service),
	}
	if err := f.prepare(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) prepare() error {
	if err := f.authority.Save(f.opts.Dir); err != nil {
		return err
	}
	return f.startPlatform()
}

// Dir is the folder of settings, keys and logs.
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
		server, err := platform.Start(h.handler, loopbackAny)
		if err != nil {
			return err
		}
		f.servers = append(f.servers, server)
		f.urls[h.name] = server.URL()
	}
	return nil
}

// AddModel makes a model's weights known to the origin and the store.
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

// Process returns a started process.
func (f *Fleet) Process(id fleet.InstanceID) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[id]
}

// Close kills what still runs and stops the stand-ins.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.Kill()
	}
	for _, e := range f.Engines {
		_ = e.Close()
	}
	for _, p := range f.Plain {
		_ = p.Close()
	}
	for _, s := range f.servers {
		s.Stop()
	}
	if f.temporary {
		_ = os.RemoveAll(f.opts.Dir)
	}
}

// loopbackAny asks the kernel for a free port.
const loopbackAny = "127.0.0.1:0"

// Ports of processes lie below those that the kernel gives to connections and
// to listeners that ask for any. A port from there could be taken by anyone on
// the machine in the moment between its choice and the process's start.
const (
	lowestPort  = 10000
	portChoices = 20000
)

// freePorts returns n ports that were free for both TCP and UDP a moment ago.
// A fleet goes through the ports one by one, so that it never reuses one
// whose process does not listen yet. It starts anywhere,
// since other tests may choose at the same time.
func (f *Fleet) freePorts(n int) ([]netip.AddrPort, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ports []netip.AddrPort
	for range portChoices {
		if len(ports) == n {
			return ports, nil
		}
		f.lastPort = (f.lastPort + 1) % portChoices
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(lowestPort+f.lastPort))
		if isFree(addr) {
			ports = append(ports, addr)
		}
	}
	return nil, failure.Unavailable.New("no %d free ports on 127.0.0.1", n)
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

// write puts a file under the fleet's directory and returns its path.
func (f *Fleet) write(name, text string) (string, error) {
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
	if f.opts.Spans {
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
`, id, place.Zone, place.Region,
		f.urls[configServer], f.urls[instancesServer], f.urls[originServer], f.urls[storeServer],
		files.Authority, files.Certificate, files.Key, spans), nil
}
