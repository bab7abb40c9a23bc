// Package gossip disseminates the state of each process to the other processes
// of the fleet through its neighbours.
//
// Every process writes exactly one Record, its own, and relays the records it
// has received of others. A Table is the soft-state copy of the fleet that one
// process holds: it is kept in memory only, and a process that starts fills it
// again from its neighbours. There is no consensus on its content; decisions
// based on it must be safe when it is stale (see package rollout).
//
// A Table does no I/O, starts no goroutine and reads no clock. It is used by
// the control goroutine only; other goroutines read the immutable View.
package gossip
