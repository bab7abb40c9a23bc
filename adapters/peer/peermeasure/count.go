package main

import (
	"context"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
)

// packetHeaderBytes is the size of the UDP and IPv4 headers of each packet.
const packetHeaderBytes = 28

func newCountCommand() *cobra.Command {
	var f flags
	var listen string
	var idle time.Duration
	command := &cobra.Command{
		Use:   "count",
		Short: "Measure one endpoint with many idle connections",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return count(command, f, listen, idle)
		},
	}
	f.register(command)
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:20000", "address of the endpoint")
	command.Flags().DurationVar(&idle, "idle", 30*time.Second, "how long to measure the idle connections")
	return command
}

func count(command *cobra.Command, f flags, listenText string, idle time.Duration) error {
	ctx := command.Context()
	store, err := keys.Load(f.files)
	if err != nil {
		return err
	}
	listen, err := netip.ParseAddrPort(listenText)
	if err != nil {
		return failure.Invalid.Wrap(err, "--listen")
	}
	endpoint, err := newEndpoint(ctx, store, listen, f.keepAlive)
	if err != nil {
		return err
	}
	before := memoryNow()
	if err := connect(ctx, endpoint, f); err != nil {
		return err
	}
	sleep(ctx, idle) // handshakes and path probes complete, buffers are released
	after := memoryNow()
	start, cpuStart := endpoint.Stats(), cpuNow()
	sleep(ctx, idle)
	end, cpuEnd := endpoint.Stats(), cpuNow()
	if ctx.Err() != nil {
		return failure.Unavailable.Wrap(ctx.Err(), "interrupted before the measurement was done")
	}

	connections := end.Dialled + end.Accepted
	perSecond := float64(traffic(end)-traffic(start)) / idle.Seconds() / float64(connections)
	command.Printf("dialled=%d accepted=%d heap_per_connection=%d stack_per_connection=%d rss_per_connection=%d rss=%d"+
		" bytes_per_second_per_connection=%.1f cpu_percent=%.3f\n",
		end.Dialled, end.Accepted,
		(after.heap-before.heap)/connections, (after.stack-before.stack)/connections, (after.rss-before.rss)/connections, after.rss,
		perSecond, 100*(cpuEnd-cpuStart).Seconds()/idle.Seconds())
	return nil
}

// connect dials the other process's endpoints, or waits until they have
// dialled.
func connect(ctx context.Context, endpoint *peer.Endpoint, f flags) error {
	if f.dial == "" {
		for endpoint.Stats().Accepted < f.count && ctx.Err() == nil {
			sleep(ctx, 100*time.Millisecond)
		}
		return nil
	}
	first, err := netip.ParseAddrPort(f.dial)
	if err != nil {
		return failure.Invalid.Wrap(err, "--dial")
	}
	for i := range f.count {
		if err := exchange(ctx, endpoint, addrWithPortOffset(first, i)); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// traffic returns the bytes on the wire in both directions.
func traffic(s peer.Stats) uint64 {
	return s.BytesSent + s.BytesReceived + packetHeaderBytes*(s.PacketsSent+s.PacketsReceived)
}

// memory is the memory usage in bytes.
type memory struct {
	heap  int // live heap objects
	stack int
	rss   int // resident set size
}

func memoryNow() memory {
	runtime.GC()
	runtime.GC() // sync.Pool keeps its objects for one more collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return memory{heap: int(stats.HeapAlloc), stack: int(stats.StackInuse), rss: residentNow()}
}

// residentNow returns the resident set size, 0 where the kernel does not report
// it.
func residentNow() int {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// cpuNow returns the processor time that the process has used.
func cpuNow() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
