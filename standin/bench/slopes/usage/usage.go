// Package usage reads the resource usage of a process from the kernel's
// counters. Unlike elapsed time, processor time does not grow when the machine
// is busy with other work.
package usage

import (
	"bufio"
	"context"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"chivespindle.example/core/failure"
)

// Reading is the resource usage of a process so far.
type Reading struct {
	CPU time.Duration // user and system
	RSS float64       // resident bytes
}

// Of reads the usage of a process. The processor time is the sum over its
// threads, in nanoseconds: the ticks of 10 ms in /proc/<pid>/stat are too
// coarse for a process that uses one of them per second. A thread that has
// ended is not counted; the Go runtime keeps its threads.
func Of(pid int) (Reading, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	threads, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil || len(threads) == 0 {
		return Reading{}, failure.NotFound.New("no process %d", pid)
	}
	var r Reading
	for _, path := range threads {
		used, err := firstNumber(path, 0)
		if err != nil {
			continue // the thread has ended
		}
		r.CPU += time.Duration(used)
	}
	const residentField = 1
	pages, err := firstNumber(filepath.Join(dir, "statm"), residentField)
	r.RSS = float64(pages) * float64(os.Getpagesize())
	return r, err
}

func firstNumber(path string, field int) (int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, failure.Unavailable.Wrap(err, "read %s", path)
	}
	fields := strings.Fields(string(data))
	if len(fields) <= field {
		return 0, failure.Corrupt.New("%s has %d fields", path, len(fields))
	}
	n, err := strconv.ParseInt(fields[field], 10, 64)
	if err != nil {
		return 0, failure.Corrupt.Wrap(err, "%s", path)
	}
	return n, nil
}

// Self returns the processor time of this process.
func Self() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// Heap returns the bytes of live objects of this process.
func Heap() float64 {
	runtime.GC()
	runtime.GC() // a sync.Pool is emptied only by the second collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Load returns the machine's load average of the last minute, to be printed
// with the measurements. It returns 0 if the kernel does not provide one.
func Load() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return load
}

// Metrics holds the metrics of a process, summed over the tags of each name.
type Metrics map[string]float64

// Names of metrics.
const (
	Mallocs     = "go_memstats_mallocs_total"
	SentBytes   = "chivespindle_bytes_sent" // of frames to peers
	ListCalls   = "chivespindle_platform_list_calls"
	ConfigCalls = "chivespindle_platform_config_calls"
)

// MetricsOf reads the metrics endpoint at the operations address of a process.
func MetricsOf(ops netip.AddrPort) (Metrics, error) {
	const timeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ops.String()+"/metrics", nil)
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "metrics of %s", ops)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, failure.Unavailable.Wrap(err, "metrics of %s", ops)
	}
	defer func() { _ = resp.Body.Close() }()
	return parse(bufio.NewScanner(resp.Body))
}

// parse reads lines of the form name{tags} value.
func parse(lines *bufio.Scanner) (Metrics, error) {
	m := make(Metrics)
	for lines.Scan() {
		line := lines.Text()
		space := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || space < 0 {
			continue
		}
		value, err := strconv.ParseFloat(line[space+1:], 64)
		if err != nil {
			return nil, failure.Corrupt.Wrap(err, "metric %q", line)
		}
		name, _, _ := strings.Cut(line[:space], "{")
		m[name] += value
	}
	if err := lines.Err(); err != nil {
		return nil, failure.Unavailable.Wrap(err, "read metrics")
	}
	return m, nil
}
