// Package gossip spreads what each process says of itself over its neighbours.
package gossip
