package gateway

import (
	"maps"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/wire"
)

// manifests are those of the newest versions, by model, with whom they were
// told to. They belong to the control loop.
//
// Each agent that reads a manifest at the origin takes a connection and a part
// of its link. 58 agents took all 48 connections, and their 116 readings the
// time of a quarter of a copy; some had the manifest three seconds after the
// first. So a few read it, and the entries tell it to the rest.
type manifests struct {
	newest map[string]knownManifest
	told   map[toldManifest]bool
}

type knownManifest struct {
	wire.Manifest
	direct bool // told by an agent and not by another entry
}

type toldManifest struct {
	to      fleet.InstanceID
	model   string
	version uint64
}

func newManifests() manifests {
	return manifests{newest: make(map[string]knownManifest), told: make(map[toldManifest]bool)}
}

// take notes a manifest and reports whether it is news.
func (m *manifests) take(heard wire.Manifest, direct bool) bool {
	known, ok := m.newest[heard.Model]
	if ok && known.Version >= heard.Version {
		return false
	}
	m.newest[heard.Model] = knownManifest{heard, direct}
	maps.DeleteFunc(m.told, func(key toldManifest, _ bool) bool { return key.model == heard.Model })
	return true
}

// forPeer returns what a process is to be told, nil for nothing. Entries hear
// only what agents told this one, so that no manifest goes round between them.
func (m *manifests) forPeer(to fleet.InstanceID, role fleet.Role, model string) *wire.Manifest {
	for name, known := range m.newest {
		key := toldManifest{to, name, known.Version}
		isFor := role == fleet.RoleEntry && known.direct || role == fleet.RoleAgent && name == model
		if !isFor || m.told[key] {
			continue
		}
		m.told[key] = true
		return &known.Manifest
	}
	return nil
}

// lost forgets what a process was told whose link has ended.
func (m *manifests) lost(id fleet.InstanceID) {
	for key := range m.told {
		if key.to == id {
			delete(m.told, key)
		}
	}
}

// heardManifest passes a manifest on at once.
func (g *Gateway) heardManifest(heard wire.Manifest, role fleet.Role) {
	if !g.manifests.take(heard, role == fleet.RoleAgent) {
		return
	}
	g.urgent = true
	g.opts.Logger.Info("manifest_heard", zap.String("model", heard.Model), zap.Uint64("version", heard.Version),
		zap.Bool("direct", role == fleet.RoleAgent))
}
