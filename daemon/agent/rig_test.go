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
	plainService fleet.ServiceName = "workshop-api" // plain service
	modelService fleet.ServiceName = "spindle-pool" // model service
	self         fleet.InstanceID  = "agent-1"
)

// rig is an agent with a fake backend server, and an entry that sends it requests.
type rig struct {
	*daemontest.Process
	role    *agent.Agent
	backend *daemontest.Backend
	engine  *daemontest.Engine // nil for a plain service
	entry   *daemontest.Entry
	config  *daemontest.ConfigService // platform's configuration
}

func configOf(v fleet.Version) string {
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
`, v.Name, v.Manifest, modelService, v.Name, plainService)
}

var (
	v1 = fleet.Version{Name: "r1", Manifest: fleet.DigestOf([]byte("r1"))}
	v2 = fleet.Version{Name: "r2", Manifest: fleet.DigestOf([]byte("r2"))}
)

// newPlainRig starts an agent for a plain service and waits until it admits
// requests.
func newPlainRig() *rig {
	GinkgoHelper()
	r := newRig(plainService, nil)
	Eventually(r.admits).Should(BeTrue())
	return r
}

// newModelRig starts an agent for an engine that has loaded v1, the configured
// version, and waits until it admits requests.
func newModelRig() *rig {
	GinkgoHelper()
	r := newRig(modelService, daemontest.NewEngine())
	Eventually(r.admits).Should(BeTrue())
	return r
}

func newRig(service fleet.ServiceName, engine *daemontest.Engine) *rig {
	GinkgoHelper()
	instance := fleet.Instance{ID: self, Role: fleet.RoleAgent, Service: service, Place: daemontest.LocalPlace}
	config := daemontest.NewConfigService(1, configOf(v1))
	r := &rig{backend: daemontest.NewBackend(), engine: engine, config: config}
	r.Process = daemontest.NewProcess(daemontest.Options{Self: instance, Config: config})
	r.Instances.Set(r.Self)
	options := agent.Options{
		Self: r.Self, Loop: r.Loop, Backend: r.backend, MaxInFlight: 64, MaxBody: 1 << 20,
		DrainTimeout: daemontest.WaitTimeout, Incarnation: r.Incarnation,
		Tracer: r.Tracer, Logger: r.Logger, Metrics: r.Metrics,
	}
	if engine == nil {
		options.Plain = r.backend
	} else {
		engine.UpdateStatus(func(s *serving.EngineStatus) { s.Loaded = v1 })
		r.setEngineOptions(&options)
	}
	r.role = agent.New(r.Context(), options)
	r.AttachNode(r.role.HandleChange, r.role.HandleList)
	r.role.Attach(r.Node)
	r.Loop.AddTicker(r.role)
	r.Run(r.role)
	r.ActivateConfig(1, configOf(v1))
	r.entry = daemontest.NewEntry("entry-1", r.Self)
	return r
}

func (r *rig) setEngineOptions(o *agent.Options) {
	random := rand.New(rand.NewPCG(1, 2))
	unlimited := rate.NewLimiter(rate.Inf, swarm.PieceBytes)
	o.Engine = r.engine
	o.Changeover = serving.ChangeoverOptions{Rand: random, PollInterval: 20 * time.Millisecond}
	o.Swarm = swarm.Options{
		Self: spread.Member{ID: r.Self.ID, Place: r.Self.Place, Addr: r.Self.PeerAddr},
		Loop: r.Loop, Endpoint: r.Endpoint, Stage: daemontest.NewStage(), Origin: daemontest.NewSource(),
		UploadLimiter: unlimited, DownloadLimiter: unlimited, StallTimeout: time.Second, Rand: random, Logger: r.Logger, Metrics: r.Metrics,
	}
}

func (r *rig) admits() bool {
	ready, _ := r.role.Ready()
	return ready
}

// issueKey issues a key for this incarnation of the agent.
func (r *rig) issueKey(random uint64) string {
	return once.Issue("", self, once.Incarnation(r.Incarnation), time.Now(), random).Text
}

// nonIdempotentRequest returns a non-idempotent request that is sent now according
// to the agent's own clock.
func (r *rig) nonIdempotentRequest(id, key string) wire.Request {
	GinkgoHelper()
	return wire.Request{
		ID: id, Service: r.Self.Service, Path: "orders", IdempotencyKey: key, NonIdempotent: true,
		Deadline: admission.Deadline{Sent: r.entry.Report().Clock, Remaining: daemontest.WaitTimeout},
	}
}
