package gateway

import (
	"maps"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

// manifests are those of the newest versions, by model, with whom they were
// told to. They belong to the control loop.
//
// Each agent that reads a manifest at the origin takes a connection and a part
// of its link. Read by all agents, it took every connection that the origin has,
// and the time of a part of a copy. So a few read it, and the entries tell it to
// the rest.
type manifests struct {
	newest map[string]knownManifest
	told   map[toldManifest]bool
}

type knownManifest struct {
	wire.Manifest
	near bool // told by an entry of the own group
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
func (m *manifests) take(heard wire.Manifest, near bool) bool {
	known, ok := m.newest[heard.Model]
	if ok && known.Version >= heard.Version {
		return false
	}
	m.newest[heard.Model] = knownManifest{heard, near}
	maps.DeleteFunc(m.told, func(key toldManifest, _ bool) bool { return key.model == heard.Model })
	return true
}

// forEntry returns what another entry is to be told, nil for nothing. One of
// the own group hears only what came from agents or other groups, so that no
// manifest goes round in the group.
func (m *manifests) forEntry(to mesh.Peer) *wire.Manifest {
	for name, known := range m.newest {
		if known.near && to.SameGroup {
			continue
		}
		if told := m.tell(to.ID, name); told != nil {
			return told
		}
	}
	return nil
}

// forAgent returns what an agent is to be told, nil for nothing.
func (m *manifests) forAgent(to fleet.InstanceID, model string) *wire.Manifest {
	return m.tell(to, model)
}

// tell returns the newest manifest of a model the first time that it is called
// for a process.
func (m *manifests) tell(to fleet.InstanceID, model string) *wire.Manifest {
	known, ok := m.newest[model]
	key := toldManifest{to, model, known.Version}
	if !ok || m.told[key] {
		return nil
	}
	m.told[key] = true
	return &known.Manifest
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
func (g *Gateway) heardManifest(heard wire.Manifest, near bool) {
	if !g.manifests.take(heard, near) {
		return
	}
	g.flushDue = true
	g.opts.Logger.Info("manifest_heard", zap.String("model", heard.Model), zap.Uint64("version", heard.Version),
		zap.Bool("near", near))
}
