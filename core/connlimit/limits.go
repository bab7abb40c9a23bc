package connlimit

import "math"

const (
	// connectionBytes is the memory that a connection may take: its buffers and stacks, a
	// head of HeadAllowance, and what the kernel holds of bytes that are not read yet.
	connectionBytes = 64 << 10
	// HeadAllowance is the memory for a head that each connection has; what a head takes
	// beyond it is counted against Limits.HeadBytes.
	HeadAllowance = 8 << 10
	// bytesPerField is the memory that net/http takes for a header field beyond its bytes.
	bytesPerField = 128

	// MinHeadBytes is the least memory for the heads of a port. A head of 64 KiB fits, however
	// many fields it has.
	MinHeadBytes = 64<<10 + bytesPerField*(64<<10)/minFieldBytes
	// minFieldBytes is the least length of a field, with the end of its line.
	minFieldBytes = 4

	// memoryShare and headShare are the shares of a process's memory for connections and
	// for heads.
	memoryShare = 0.25
	headShare   = 0.05
	// descriptorShare is the share of a process's sockets for clients' connections. The
	// rest is for connections to backend servers, other processes and the platform.
	descriptorShare = 0.6
	// fileDescriptors is the number of descriptors of a process that are no sockets.
	fileDescriptors = 200
	// requestShare is the share of the connections that may carry requests at the same
	// time. There are always others that can be closed for a new one.
	requestShare = 0.75
)

// Limits bound what the clients of a port may use together. 0 is no bound.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Requests is the number of requests that are served at the same time.
	Requests int
	// HeadBytes is the memory of request heads beyond HeadAllowance for each connection.
	HeadBytes int64
}

// OfProcess returns the limits that all ports of a process have together. A process without
// a limit on its memory or its descriptors passes 0.
func OfProcess(memoryBytes int64, descriptors int) Limits {
	connections := math.MaxInt
	if memoryBytes > 0 {
		connections = int(memoryShare * float64(memoryBytes) / connectionBytes)
	}
	if descriptors > 0 {
		connections = min(connections, int(descriptorShare*float64(descriptors-fileDescriptors)))
	}
	if connections == math.MaxInt {
		return Limits{}
	}
	connections = max(1, connections)
	return Limits{
		Connections: connections,
		Requests:    max(1, int(requestShare*float64(connections))),
		HeadBytes:   int64(headShare * float64(memoryBytes)),
	}
}

// Share returns the part of the limits for one port.
func (l Limits) Share(share float64) Limits {
	return Limits{
		Connections: atLeastOne(l.Connections, share),
		Requests:    atLeastOne(l.Requests, share),
		HeadBytes:   max(int64(share*float64(l.HeadBytes)), min(l.HeadBytes, MinHeadBytes)),
	}
}

// atLeastOne returns a share of n that is not 0, which would be no bound.
func atLeastOne(n int, share float64) int {
	if n == 0 {
		return 0
	}
	return max(1, int(share*float64(n)))
}

// headCost returns the memory that a part of a head takes.
func headCost(bytes, fields int) int64 { return int64(bytes) + bytesPerField*int64(fields) }
