package harness

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/plainservice"
)

// Process is one running program of the system.
type Process struct {
	Instance fleet.Instance
	Ops      netip.AddrPort
	Log      string // path of its log

	settings string  // path of its settings
	backend  backend // of an agent
	cmd      *exec.Cmd
	done     chan struct{}
	err      error
}

// backend is what an agent's settings say of its backend server.
type backend struct {
	kind, url string
}

// Kill ends the process at once, as a power cut would.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate asks the process to stop gracefully.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Freeze stops the process from running until Thaw; it does not notice.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process run on.
func (p *Process) Thaw() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Wait waits for the process's end and returns its error, or a
// failure.Timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return failure.Timeout.New("process %s still runs after %s", p.Instance.ID, timeout)
	}
}

// Pid returns the process id, for measurements of a running process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// StartEntry starts an entry instance and adds it to the instance list.
func (f *Fleet) StartEntry(id fleet.InstanceID, place fleet.Place) (*Process, error) {
	ports, err := f.freePorts(3)
	if err != nil {
		return nil, err
	}
	listen := fmt.Sprintf("peer = %s\ncallers = %s\nops = %s\n", ports[0], ports[1], ports[2])
	common, err := f.commonSettings(id, place, fleet.RoleEntry)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(common, "", listen) + "[entry]\naddress_ttl = 1s\n"
	instance := fleet.Instance{ID: id, Role: fleet.RoleEntry, Place: place, PeerAddr: ports[0], CallerAddr: ports[1]}
	return f.start(instance, ports[2], text)
}

// AgentSpec says what kind of backend server an agent stands beside.
type AgentSpec struct {
	Service fleet.ServiceName
	// Engine options of a model engine; nil for a plain service.
	Engine *engine.Options
	// Plain options of a plain service; nil for a model engine.
	Plain *plainservice.Options
}

// StartAgent starts a backend server and its agent.
func (f *Fleet) StartAgent(id fleet.InstanceID, place fleet.Place, spec AgentSpec) (*Process, error) {
	server, err := f.startBackend(id, spec)
	if err != nil {
		return nil, err
	}
	return f.startAgentProcess(id, place, spec.Service, server)
}

// RestartAgent starts the agent of a backend server that still runs anew,
// under the same id with other ports, as after a crash of the agent alone.
func (f *Fleet) RestartAgent(id fleet.InstanceID) (*Process, error) {
	old := f.Process(id)
	if old == nil {
		return nil, failure.NotFound.New("no process %s", id)
	}
	old.Kill()
	return f.startAgentProcess(id, old.Instance.Place, old.Instance.Service, old.backend)
}

// Restart starts a process anew with the settings that it had, ports too, as
// a supervisor on the instance does.
func (f *Fleet) Restart(id fleet.InstanceID) (*Process, error) {
	old := f.Process(id)
	if old == nil {
		return nil, failure.NotFound.New("no process %s", id)
	}
	old.Kill()
	p, err := f.run(old.Instance, old.Ops, old.settings)
	if err != nil {
		return nil, err
	}
	p.backend = old.backend
	return p, nil
}

// StartSecondAgent starts another agent, named id, beside the backend server
// that the agent of stands beside already, as a mistaken supervisor does.
func (f *Fleet) StartSecondAgent(id, of fleet.InstanceID) (*Process, error) {
	first := f.Process(of)
	if first == nil {
		return nil, failure.NotFound.New("no process %s", of)
	}
	return f.startAgentProcess(id, first.Instance.Place, first.Instance.Service, first.backend)
}

func (f *Fleet) startBackend(id fleet.InstanceID, spec AgentSpec) (backend, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if spec.Engine != nil {
		e := engine.New(*spec.Engine)
		if _, err := e.Start(loopbackAny); err != nil {
			return backend{}, err
		}
		f.Engines[id] = e
		return backend{kind: "engine", url: e.URL()}, nil
	}
	p := plainservice.New(*spec.Plain)
	if _, err := p.Start(loopbackAny); err != nil {
		return backend{}, err
	}
	f.Plain[id] = p
	return backend{kind: "plain", url: p.URL()}, nil
}

func (f *Fleet) startAgentProcess(id fleet.InstanceID, place fleet.Place, service fleet.ServiceName, server backend) (*Process, error) {
	ports, err := f.freePorts(2)
	if err != nil {
		return nil, err
	}
	common, err := f.commonSettings(id, place, fleet.RoleAgent)
	if err != nil {
		return nil, err
	}
	listen := fmt.Sprintf("peer = %s\nops = %s\n", ports[0], ports[1])
	text := fmt.Sprintf(common, "service = "+string(service)+"\n", listen)
	text += fmt.Sprintf("[backend]\nkind = %s\nurl = %s\n[link]\nbytes_per_second = %d\n", server.kind, server.url, f.opts.LinkBytesPerSecond)
	instance := fleet.Instance{ID: id, Role: fleet.RoleAgent, Service: service, Place: place, PeerAddr: ports[0]}
	p, err := f.start(instance, ports[1], text)
	if err != nil {
		return nil, err
	}
	p.backend = server
	return p, nil
}

func (f *Fleet) start(instance fleet.Instance, ops netip.AddrPort, settings string) (*Process, error) {
	path, err := f.write(string(instance.ID)+".ini", settings)
	if err != nil {
		return nil, err
	}
	return f.run(instance, ops, path)
}

// run starts a program with a settings file and lists its instance.
func (f *Fleet) run(instance fleet.Instance, ops netip.AddrPort, settings string) (*Process, error) {
	logPath := filepath.Join(f.opts.Dir, string(instance.ID)+".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, failure.Unavailable.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(f.opts.Daemon, string(instance.Role), "--settings", settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, failure.Unavailable.Wrap(err, "start %s", instance.ID)
	}
	p := &Process{Instance: instance, Ops: ops, Log: logPath, settings: settings, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	f.processes[instance.ID] = p
	f.mu.Unlock()
	f.Instances.Set(instance)
	return p, nil
}
