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

// Process is a process of the system: an entry or an agent.
type Process struct {
	Instance fleet.Instance
	OpsAddr  netip.AddrPort
	LogPath  string // path of the log file

	settingsPath string        // path of the settings file
	backend      backendServer // set for an agent
	cmd          *exec.Cmd
	done         chan struct{}
	err          error
}

// backendServer is the backend server in an agent's settings.
type backendServer struct {
	kind, url string
}

// Kill kills the process without a graceful stop, like a power failure.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate asks the process to stop gracefully.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Signal sends the process a signal. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Suspend suspends the process until Resume. The process is not notified.
func (p *Process) Suspend() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume resumes a suspended process.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Wait waits until the process has exited and returns its error, or
// failure.Timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return failure.Timeout.New("process %s still runs after %s", p.Instance.ID, timeout)
	}
}

// PID returns the process ID, for measurements of a running process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

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

// AgentSpec specifies the backend server of an agent.
type AgentSpec struct {
	Service fleet.ServiceName
	// Engine configures a model engine; nil for a plain service.
	Engine *engine.Options
	// Plain configures a plain service; nil for a model engine.
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

// RestartAgent restarts the agent of a running backend server under the same ID
// with other ports, as after a crash of the agent alone.
func (f *Fleet) RestartAgent(id fleet.InstanceID) (*Process, error) {
	old := f.Process(id)
	if old == nil {
		return nil, failure.NotFound.New("no process with the ID %s", id)
	}
	old.Kill()
	return f.startAgentProcess(id, old.Instance.Place, old.Instance.Service, old.backend)
}

// Restart restarts a process with the same settings, including the ports, like
// a supervisor on the instance.
func (f *Fleet) Restart(id fleet.InstanceID) (*Process, error) {
	old := f.Process(id)
	if old == nil {
		return nil, failure.NotFound.New("no process with the ID %s", id)
	}
	old.Kill()
	p, err := f.run(old.Instance, old.OpsAddr, old.settingsPath)
	if err != nil {
		return nil, err
	}
	p.backend = old.backend
	return p, nil
}

// StartSecondAgent starts another agent, named id, for the backend server of
// the agent firstID, like a misconfigured supervisor.
func (f *Fleet) StartSecondAgent(id, firstID fleet.InstanceID) (*Process, error) {
	first := f.Process(firstID)
	if first == nil {
		return nil, failure.NotFound.New("no process with the ID %s", firstID)
	}
	return f.startAgentProcess(id, first.Instance.Place, first.Instance.Service, first.backend)
}

func (f *Fleet) startBackend(id fleet.InstanceID, spec AgentSpec) (backendServer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if spec.Engine != nil {
		e := engine.New(*spec.Engine)
		if _, err := e.Start(anyPort); err != nil {
			return backendServer{}, err
		}
		f.Engines[id] = e
		return backendServer{kind: "engine", url: e.URL()}, nil
	}
	p := plainservice.New(*spec.Plain)
	if _, err := p.Start(anyPort); err != nil {
		return backendServer{}, err
	}
	f.PlainServices[id] = p
	return backendServer{kind: "plain", url: p.URL()}, nil
}

func (f *Fleet) startAgentProcess(id fleet.InstanceID, place fleet.Place, service fleet.ServiceName, server backendServer) (*Process, error) {
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
	path, err := f.writeFile(string(instance.ID)+".ini", settings)
	if err != nil {
		return nil, err
	}
	return f.run(instance, ops, path)
}

// run starts a process with a settings file and adds its instance to the
// instance list.
func (f *Fleet) run(instance fleet.Instance, ops netip.AddrPort, settingsPath string) (*Process, error) {
	logPath := filepath.Join(f.opts.Dir, string(instance.ID)+".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, failure.Unavailable.Wrap(err, "open the log file")
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(f.opts.DaemonPath, string(instance.Role), "--settings", settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, failure.Unavailable.Wrap(err, "start %s", instance.ID)
	}
	p := &Process{Instance: instance, OpsAddr: ops, LogPath: logPath, settingsPath: settingsPath, cmd: cmd, done: make(chan struct{})}
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
