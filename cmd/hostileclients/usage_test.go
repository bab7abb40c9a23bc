package hostileclients_test

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/standin/harness"
)

// usage is what a process and the kernel used at most.
type usage struct {
	process *harness.Process
	ports   map[string]bool // local ports as in /proc/net/tcp

	mu      sync.Mutex
	memory  int64 // peak of the resident memory
	unread  int64 // bytes that the process has not read from its connections
	sockets int
	err     error
}

// watch samples the usage of a process until the spec ends.
func watch(p *harness.Process) *usage {
	u := &usage{process: p, ports: map[string]bool{}}
	for _, port := range []uint16{p.Instance.CallerAddr.Port(), p.OpsAddr.Port()} {
		u.ports[fmt.Sprintf("%04X", port)] = true
	}
	done := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			u.sample()
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	})
	DeferCleanup(func() { close(done); sampling.Wait() })
	return u
}

func (u *usage) sample() {
	memory, err := peakMemory(u.process.PID())
	unread, unreadErr := u.unreadBytes()
	descriptors, socketErr := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.process.PID()))
	sockets := 0
	for _, d := range descriptors {
		link, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", u.process.PID(), d.Name())) // closed meanwhile
		if strings.HasPrefix(link, "socket:") {
			sockets++
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range []error{err, unreadErr, socketErr} {
		if u.err == nil {
			u.err = e
		}
	}
	u.memory, u.unread, u.sockets = max(u.memory, memory), max(u.unread, unread), max(u.sockets, sockets)
}

// peakMemory returns the largest resident memory of a process so far.
func peakMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, os.ErrNotExist
}

// unreadBytes returns the bytes in the receive queues of the connections to the ports.
func (u *usage) unreadBytes() (int64, error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	const (
		localAddress = 1
		state        = 3
		queues       = 4
		listening    = "0A" // its queue is a number of connections
	)
	var sum int64
	scanner := bufio.NewScanner(file)
	scanner.Scan() // the header
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		_, port, _ := strings.Cut(fields[localAddress], ":")
		if !u.ports[port] || fields[state] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queues], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, scanner.Err()
}

// expectWithinBounds checks that the process runs and has never used more than its settings
// allow.
func (u *usage) expectWithinBounds() {
	GinkgoHelper()
	u.sample()
	u.mu.Lock()
	defer u.mu.Unlock()
	AddReportEntry("usage", fmt.Sprintf("memory=%d KB unread=%d KB sockets=%d", u.memory>>10, u.unread>>10, u.sockets))
	Expect(u.err).NotTo(HaveOccurred(), "the process has ended")
	Expect(u.memory+u.unread).To(BeNumerically("<=", memoryBound), "memory with the bytes that were not read")
	Expect(u.sockets).To(BeNumerically("<=", socketBound), "sockets")
}
