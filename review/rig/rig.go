// Package rig starts the project's programs as separate processes on loopback addresses,
// against stand-ins of the users' platform, for the cases of the review.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/platform/standin"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNoRun  = 2
)

// Zone and Region locate all machines of a rig.
const (
	Zone   = "apapa-hall"
	Region = "lagos"
)

// Rig is a small deployment: a store and processes of the program.
type Rig struct {
	Store *standin.Store
	// Bounds are those of the settings.
	Bounds map[string]any

	started   time.Time
	dir       string
	program   string
	storeAddr string
	storeSrv  *http.Server
	peerPort  int
	seeds     []string
	mu        sync.Mutex
	record    *os.File
	processes []*Process
}

// New returns a rig that writes to a record file. program is the built chivespindled.
func New(program, record string) (*Rig, error) {
	abs, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(abs); err != nil {
		return nil, failure.Invalid.Wrap(err, "the program is not built")
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-*")
	if err != nil {
		return nil, err
	}
	r := &Rig{
		Store: standin.NewStore(), started: time.Now(), dir: dir, program: abs, record: file,
		Bounds: map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
			"graceS": 8, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
			"failClosed": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 100,
			"recoverS": 12, "passMs": 120, "retryAfterS": 0, "version_ms": 8000, "version_all_ms": 0, "ttl_max_s": 5,
		},
	}
	listener, err := net.Listen("tcp", Host(200)+":0")
	if err != nil {
		return nil, err
	}
	r.storeAddr = listener.Addr().String()
	r.storeSrv = &http.Server{Handler: r.Store}
	go func() { _ = r.storeSrv.Serve(listener) }()
	if r.peerPort, err = freeUDPPort(); err != nil {
		return nil, err
	}
	for n := 1; n <= 3; n++ {
		r.seeds = append(r.seeds, Host(n)+":18000")
	}
	return r, nil
}

// Host returns the loopback address of a machine. The metrics have a fixed port, so the
// addresses depend on the process ID: cases that run at once must not share them.
func Host(n int) string {
	const spread = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/spread%spread, pid%spread, n)
}

func freeUDPPort() (int, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().(*net.UDPAddr).Port, nil
}

func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Since returns the time since the start of the rig.
func (r *Rig) Since() time.Duration { return time.Since(r.started) }

// Log writes a line to the record.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", r.Since().Seconds(), fmt.Sprintf(format, args...))
}

// Result writes the outcome to the record and prints it.
func (r *Rig) Result(text string) {
	r.Log("%s", text)
	fmt.Println(text)
}

// Process is a process of the program.
type Process struct {
	Name, Role, IP string
	// Front, Ready and Directory are the addresses of an entry.
	Front, Ready, Directory string

	rig      *Rig
	settings string
	command  *exec.Cmd
	exited   chan struct{}
}

// StartEntry starts an entry on machine n.
func (r *Rig) StartEntry(n int) (*Process, error) {
	ip := Host(n)
	p := &Process{Name: fmt.Sprintf("front-%d", n), Role: "entry", IP: ip, rig: r}
	var err [3]error
	p.Front, err[0] = freePort(ip)
	p.Ready, err[1] = freePort(ip)
	p.Directory, err[2] = freePort(ip)
	if e := errors.Join(err[:]...); e != nil {
		return nil, e
	}
	return p, r.start(p, map[string]any{
		"machineClass": "front", "serves": []string{"front", "control", "directory"},
		"listen": map[string]string{"front": p.Front, "ready": p.Ready, "control": ip + ":18000", "directory": p.Directory},
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
	})
}

// readyLimit is how long entries may take to become ready.
const readyLimit = 15 * time.Second

// StartEntries starts entries on the machines from 1 on, and waits until all are ready.
func (r *Rig) StartEntries(count int) ([]*Process, error) {
	var all []*Process
	for n := 1; n <= count; n++ {
		p, err := r.StartEntry(n)
		if err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	return all, r.WaitReady(readyLimit, all...)
}

// StartAgent starts the agent beside the model server at app, which is on machine n.
func (r *Rig) StartAgent(n int, app, service string) (*Process, error) {
	p := &Process{Name: fmt.Sprintf("side-%d", n), Role: "agent", IP: Host(n), rig: r}
	return p, r.start(p, map[string]any{
		"machineClass": "side", "serves": []string{"side"}, "listen": map[string]string{}, "app": app, "service": service,
		"limits": map[string]any{"cpuShare": 0.48, "cores": 1, "memoryMb": 152, "maxFds": 2048, "linkMbps": 9.4, "diskMb": 0},
	})
}

func (r *Rig) start(p *Process, more map[string]any) error {
	settings := map[string]any{
		"nodeName": p.Name, "role": p.Role, "ip": p.IP, "zone": Zone, "region": Region, "zones": map[string]string{Zone: Region},
		"portRange": []int{r.peerPort, r.peerPort + 15}, "seeds": r.seeds, "bootstrap": true, "countsAsLoss": false,
		"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "chunks"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds":         r.Bounds,
		"platform": map[string]any{"address": r.storeAddr, "form": "read", "writesPerS": 400, "readsPerS": 2000,
			"historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	for name, value := range more {
		settings[name] = value
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	p.settings = filepath.Join(r.dir, p.Name+".json")
	if err := os.WriteFile(p.settings, raw, 0o600); err != nil {
		return err
	}
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	return p.Run()
}

// Run starts the process, or starts it again after its end.
func (p *Process) Run() error {
	log, err := os.OpenFile(filepath.Join(p.rig.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(p.rig.program, "platform", p.Role)
	p.command.Env = []string{Wire("settings") + "=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	go func(command *exec.Cmd) {
		_ = command.Wait()
		close(exited)
	}(p.command)
	p.rig.Log("%s started", p.Name)
	return nil
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
	p.rig.Log("%s killed", p.Name)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) {
	_ = p.command.Process.Signal(s)
	p.rig.Log("%s gets %v", p.Name, s)
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// IsReady reports whether an entry counts as ready.
func (p *Process) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until all entries count as ready.
func (r *Rig) WaitReady(limit time.Duration, entries ...*Process) error {
	end := time.Now().Add(limit)
	for _, p := range entries {
		for !p.IsReady() {
			if time.Now().After(end) {
				return failure.Timeout.New("%s is not ready after %v", p.Name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.Log("all entries are ready")
	return nil
}

// Close ends all processes and removes the temporary folder. With KEEP set, the folder with
// the logs stays, and its path is printed.
func (r *Rig) Close() {
	for _, p := range r.processes {
		_ = p.command.Process.Kill()
		<-p.exited
	}
	_ = r.storeSrv.Close()
	_ = r.record.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are in", r.dir)
		return
	}
	_ = os.RemoveAll(r.dir)
}

// Main runs a case and exits with its code. The arguments are the program, the record file and 0
// to leave the disruption out.
func Main(run func(r *Rig, trouble bool) (broken bool, err error)) {
	if len(os.Args) < 3 || len(os.Args) > 4 {
		fmt.Fprintln(os.Stderr, "usage: case PROGRAM RECORD [0|1]")
		os.Exit(ExitNoRun)
	}
	r, err := New(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNoRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		r.Close()
		os.Exit(ExitNoRun)
	}()
	trouble := len(os.Args) < 4 || os.Args[3] != "0"
	r.Log("the case runs with the disruption: %t", trouble)
	broken, err := run(r, trouble)
	code := ExitHeld
	switch {
	case err != nil:
		r.Log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = ExitNoRun
	case broken:
		code = ExitBroken
	}
	r.Log("exit code %d", code)
	r.Close()
	os.Exit(code)
}
