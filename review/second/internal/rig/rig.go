// Package rig runs the programs of the deploy file as separate processes on loopback
// addresses, against stand-ins, and records what was sent, answered and run.
package rig

import (
	"encoding/json"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"chivespindle.example/platform/standin"
)

// Exit codes of a driver.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// program is the program that the deploy file builds, from the root of the repository.
const program = "target/chivespindled"

// mostTime is how long a case may run.
const mostTime = 110 * time.Second

// MemoryMB is the memory of a front machine of ffsan-relay.
const MemoryMB = 284

// Rig is a small deployment.
type Rig struct {
	Store *standin.Store
	// Trouble is false if the case runs without its disruption.
	Trouble bool

	dir       string
	storeAddr string
	peerPort  int
	processes []*Process

	endOnce sync.Mutex

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

// Process is a process of the program.
type Process struct {
	Name    string
	role    string
	command *exec.Cmd
	ended   chan struct{}
}

// New returns a deployment with a store only. The record is written to the folder that is
// the driver's first argument.
func New() *Rig {
	if len(os.Args) != 2 {
		log.Fatal("usage: driver FOLDER")
	}
	dir, err := os.MkdirTemp("", "review-2-")
	check(err)
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	check(err)
	r := &Rig{
		Store: standin.NewStore(), Trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record, start: time.Now(),
		peerPort: freePort(),
	}
	r.storeAddr = Serve(Loopback(250), r.Store)
	r.Note("trouble %t", r.Trouble)
	time.AfterFunc(mostTime, func() { r.End(CouldNot) })
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		r.End(CouldNot)
	}()
	return r
}

// check ends the driver with the code of a case that could not run.
func check(err error) {
	if err != nil {
		log.Print(err)
		os.Exit(CouldNot)
	}
}

// Note writes a line to the record.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Loopback returns the address of a machine of this deployment. Some ports are fixed, so it
// depends on the process ID.
func Loopback(host int) string {
	const spread = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/spread%spread, pid%spread, host)
}

func freePort() int {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	check(err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().(*net.UDPAddr).Port
}

// Listen returns a listener on a free port of an address.
func Listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	return l
}

// Serve serves a handler on a free port and returns its address.
func Serve(ip string, h http.Handler) string {
	l := Listen(ip)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// Entry starts an entry and returns the address for clients.
func (r *Rig) Entry(host int) string {
	ip := Loopback(host)
	r.startProcess("entry", ip, map[string]any{"listen": map[string]string{
		"front": ip + ":18005", "ready": ip + ":18002", "directory": ip + ":18009"}})
	return ip + ":18005"
}

func (r *Rig) startProcess(role, ip string, more map[string]any) {
	settings := map[string]any{
		"nodeName": role + "-" + ip, "ip": ip, "zone": "apapa-hall", "region": "lagos", "zones": map[string]string{"apapa-hall": "lagos"},
		"portRange": []int{r.peerPort, r.peerPort + 15}, "seeds": []string{Loopback(1) + ":18000", Loopback(2) + ":18000", Loopback(3) + ":18000"},
		"limits": map[string]any{"memoryMb": MemoryMB, "maxFds": 4200, "linkMbps": 1000},
		"bounds": map[string]any{"graceS": 8, "contactMs": 3000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"budgetSlack": 100, "version_ms": 8000},
		"platform": map[string]string{"address": r.storeAddr},
	}
	for name, value := range more {
		settings[name] = value
	}
	raw, err := json.Marshal(settings)
	check(err)
	p := &Process{Name: role + "-" + ip, role: role}
	check(os.WriteFile(filepath.Join(r.dir, p.Name+".json"), raw, 0o600))
	p.run(r)
	r.processes = append(r.processes, p)
	r.Note("started %s", p.Name)
}

// Remove stops a process as planned, for good.
func (r *Rig) Remove(p *Process) {
	r.Note("%s leaves as planned", p.Name)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	<-p.ended
}

// Restart stops a process as planned and starts it again.
func (r *Rig) Restart(p *Process) {
	r.Note("%s is stopped and started again", p.Name)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	<-p.ended
	p.run(r)
}

// Processes returns the processes of a role, in the order of their start.
func (r *Rig) Processes(role string) []*Process {
	var list []*Process
	for _, p := range r.processes {
		if p.role == role {
			list = append(list, p)
		}
	}
	return list
}

// HasEnded reports whether a process has ended by itself.
func (r *Rig) HasEnded() bool {
	for _, p := range r.processes {
		select {
		case <-p.ended:
			return true
		default:
		}
	}
	return false
}

func (p *Process) run(r *Rig) {
	output, err := os.OpenFile(filepath.Join(r.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	p.ended = make(chan struct{})
	p.command = exec.Command(program, "platform", p.role)
	p.command.Env = []string{settingsVariable + "=" + filepath.Join(r.dir, p.Name+".json")}
	p.command.Stdout, p.command.Stderr = output, output
	check(p.command.Start())
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}(p.command, p.ended)
}

// Register registers a server. more are further fields of its entry.
func (r *Rig) Register(id, service, address string, slots int, more map[string]any) {
	entry := map[string]any{"service": service, "address": address, "zone": "apapa-hall",
		"version": "1", "slots": slots, "state": "ready", "seqNo": 0, "coldLeftMs": 0}
	for name, value := range more {
		entry[name] = value
	}
	r.Store.Put("servers/"+id, entry)
}

// AwaitReady waits until all entries say that they are ready.
func (r *Rig) AwaitReady(entries ...string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, entry := range entries {
		ready := "http://" + strings.Replace(entry, ":18005", ":18002", 1) + "/ready"
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if response, err := client.Get(ready); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				r.Note("%s is not ready", entry)
				r.End(CouldNot)
			}
		}
	}
	r.Note("ready")
}

// End ends all processes that were started and the driver, with its exit code.
func (r *Rig) End(code int) {
	r.endOnce.Lock() // never unlocked: the driver ends
	for _, p := range r.processes {
		_ = p.command.Process.Kill()
		<-p.ended
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		log.Print("logs in ", r.dir)
	}
	r.Note("exit code %d", code)
	_ = r.record.Close()
	os.Exit(code)
}

// PeakMB returns the largest memory that the first process has used so far, in MB.
func (r *Rig) PeakMB() int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.processes[0].command.Process.Pid)) // empty once it has ended
	for _, line := range strings.Split(string(status), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}
