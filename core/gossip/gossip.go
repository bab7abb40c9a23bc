// Package gossip spreads what each process says of itself over its neighbours.
//
// Every process writes exactly one Record, its own, and passes on what it has
// heard of others. A Table is the soft copy that one process holds: it is kept
// in memory only, and a process that starts fills it again from its
// neighbours. Nothing in it is agreed on; whoever decides from it must be safe
// when it is stale (see package rollout).
//
// A Table does no I/O, starts no goroutine and reads no clock. It is used by
// the control goroutine alone; other goroutines read the immutable View.
package gossip
