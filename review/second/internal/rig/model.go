package rig

import (
	"net/http"
	"time"

	"chivespindle.example/platform/standin"
)

// ModelServer is a model server with its agent.
type ModelServer struct {
	*standin.Server
	id, address string
	rig         *Rig
}

// NewModelServer starts a model server with version 1 and its agent, and keeps its entry in the
// store up to date.
func (r *Rig) NewModelServer(id string, host int) *ModelServer {
	const interval = 500 * time.Millisecond
	s := standin.NewServer(id, Model, Chunks, ChunkBytes, 1)
	s.LoadTime = 300 * time.Millisecond
	s.Events, s.EventInterval = events, eventPause
	l := Listen(Loopback(host))
	go func() { _ = http.Serve(l, s) }()
	m := &ModelServer{Server: s, id: id, address: l.Addr().String(), rig: r}
	m.register(1)
	go func() {
		for last := uint64(1); ; time.Sleep(interval) {
			if now, _ := s.Loaded(); now != last {
				last = now
				r.Note("%s has version %d", id, now)
				m.register(now)
			}
		}
	}()
	r.startProcess("agent", Loopback(host), map[string]any{"app": m.address,
		"limits": map[string]any{"memoryMb": 152, "maxFds": 2048, "linkMbps": 9.4}})
	return m
}

func (m *ModelServer) register(version uint64) {
	m.rig.Register(m.id, Pool, m.address, 16, map[string]any{"layers": map[string]any{"from": 0, "target": 16, "version": version}})
}

// NameVersion names new weights.
func (r *Rig) NameVersion(version uint64) {
	r.Store.Put(versionKey+Model, map[string]any{"model": Model, "version": version})
	r.Note("version %d is named", version)
}
