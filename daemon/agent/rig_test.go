package agent_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"chivespindle.example/core/admission"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/once"
	"chivespindle.example/core/serving"
	"chivespindle.example/core/spread"
	"chivespindle.example/daemon/agent"
	"chivespindle.example/daemon/internal/daemontest"
	"chivespindle.example/daemon/swarm"
	"chivespindle.example/daemon/wire"
)

const (
	orders fleet.ServiceName = "workshop-api" // plain
	pool   fleet.ServiceName = "spindle-pool" // model
	self   fleet.InstanceID  = "agent-1"
)

// rig is an agent beside a fake backend server, and an entry that asks it.
type rig struct {
	*daemontest.Process
	role    *agent.Agent
	backend *daemontest.Backend
	engine  *daemontest.Engine // nil beside a plain service
	entry   *daemontest.Entry
	text    *daemontest.Text // the platform's
}

func textOf(v fleet.Version) string {
	return fmt.Sprintf(`[fleet]
name = ffsan
[version %s]
manifest = %s
[service %s]
kind = model
version = %s
engine_fencing = checked
[service %s]
kind = plain
`, v.Name, v.Manifest, pool, v.Name, orders)
}

var (
	v1 = fleet.Version{Name: "r1", Manifest: fleet.DigestOf([]byte("r1"))}
	v2 = fleet.Version{Name: "r2", Manifest: fleet.DigestOf([]byte("r2"))}
)

// newPlain starts an agent beside a plain service and waits until it takes
// requests.
func newPlain() *rig {
	GinkgoHelper()
	r := newRig(orders, nil)
	Eventually(r.admits).Should(BeTrue())
	return r
}

// newModel starts an agent beside an engine that has v1 loaded, which the text
// pins, and waits until it takes requests.
func newModel() *rig {
	GinkgoHelper()
	r := newRig(pool, daemontest.NewEngine())
	Eventually(r.admits).Should(BeTrue())
	return r
}

func newRig(service fleet.ServiceName, engine *daemontest.Engine) *rig {
	GinkgoHelper()
	instance := fleet.Instance{ID: self, Role: fleet.RoleAgent, Service: service, Place: daemontest.Here}
	text := daemontest.NewText(1, textOf(v1))
	r := &rig{backend: daemontest.NewBackend(), engine: engine, text: text}
	r.Process = daemontest.NewProcess(daemontest.Options{Self: instance, Text: text})
	r.List.Set(r.Self)
	options := agent.Options{
		Self: r.Self, Loop: r.Loop, Backend: r.backend, MaxInFlight: 64, MaxBody: 1 << 20,
		DrainTimeout: daemontest.Patience, Incarnation: r.Incarnation,
		Tracer: r.Tracer, Logger: r.Logger, Metrics: r.Metrics,
	}
	if engine == nil {
		options.Plain = r.backend
	} else {
		engine.Set(func(s *serving.EngineStatus) { s.Loaded = v1 })
		r.useEngine(&options)
	}
	r.role = agent.New(r.Context(), options)
	r.AttachNode(r.role.Changed, r.role.ListRead)
	r.role.Attach(r.Node)
	r.Loop.AddTicker(r.role)
	r.Run(r.role)
	r.TakeText(1, textOf(v1))
	r.entry = daemontest.NewEntry("entry-1", r.Self)
	return r
}

func (r *rig) useEngine(o *agent.Options) {
	random := rand.New(rand.NewPCG(1, 2))
	unlimited := rate.NewLimiter(rate.Inf, swarm.PieceBytes)
	o.Engine = r.engine
	o.Changeover = serving.ChangeoverOptions{Rand: random, PollInterval: 20 * time.Millisecond}
	o.Swarm = swarm.Options{
		Self: spread.Member{ID: r.Self.ID, Place: r.Self.Place, Addr: r.Self.PeerAddr},
		Loop: r.Loop, Endpoint: r.Endpoint, Stage: daemontest.NewStage(), Origin: daemontest.NewSource(),
		Up: unlimited, Down: unlimited, Stall: time.Second, Rand: random, Logger: r.Logger, Metrics: r.Metrics,
	}
}

func (r *rig) admits() bool {
	ready, _ := r.role.Ready()
	return ready
}

// key issues a key for this life of the agent.
func (r *rig) key(random uint64) string {
	return once.Issue("", self, once.Incarnation(r.Incarnation), time.Now(), random).Text
}

// order is a request that must run at most once. It is asked now, by the
// agent's own clock.
func (r *rig) order(id, key string) wire.Request {
	GinkgoHelper()
	return wire.Request{
		ID: id, Service: r.Self.Service, Path: "orders", IdempotencyKey: key, NonIdempotent: true,
		Deadline: admission.Deadline{Sent: r.entry.Report().Clock, Remaining: daemontest.Patience},
	}
}
