package gateway

import (
	"maps"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

// manifests holds the manifest of the newest version of each model, and the processes to
// which it was sent. It belongs to the control loop.
//
// Each agent that reads a manifest from the origin uses a connection and a part of its
// link. If all agents read it, they would use every connection that the origin has, and
// the time of a part of a copy. So a few agents read it, and the entries send it to the
// others.
type manifests struct {
	newest map[string]knownManifest
	sent   map[sentManifest]bool
}

type knownManifest struct {
	wire.Manifest
	fromOwnGroup bool // sent by an entry of the own group
}

type sentManifest struct {
	to      fleet.InstanceID
	model   string
	version uint64
}

func newManifests() manifests {
	return manifests{newest: make(map[string]knownManifest), sent: make(map[sentManifest]bool)}
}

// add stores a manifest and reports whether it is newer than the known one.
func (m *manifests) add(manifest wire.Manifest, near bool) bool {
	known, ok := m.newest[manifest.Model]
	if ok && known.Version >= manifest.Version {
		return false
	}
	m.newest[manifest.Model] = knownManifest{manifest, near}
	maps.DeleteFunc(m.sent, func(key sentManifest, _ bool) bool { return key.model == manifest.Model })
	return true
}

// forEntry returns the manifest to send to another entry, nil for none. An entry of the
// own group gets only those that came from agents or other groups, so that no manifest
// circulates within the group.
func (m *manifests) forEntry(to mesh.Peer) *wire.Manifest {
	for name, known := range m.newest {
		if known.fromOwnGroup && to.SameGroup {
			continue
		}
		if unsent := m.nextUnsent(to.ID, name); unsent != nil {
			return unsent
		}
	}
	return nil
}

// forAgent returns the manifest to send to an agent, nil for none.
func (m *manifests) forAgent(to fleet.InstanceID, model string) *wire.Manifest {
	return m.nextUnsent(to, model)
}

// nextUnsent returns the newest manifest of a model the first time that it is called for
// a process, and nil after that.
func (m *manifests) nextUnsent(to fleet.InstanceID, model string) *wire.Manifest {
	known, ok := m.newest[model]
	key := sentManifest{to, model, known.Version}
	if !ok || m.sent[key] {
		return nil
	}
	m.sent[key] = true
	return &known.Manifest
}

// reset causes the manifests to be sent again over the next link with a process.
func (m *manifests) reset(id fleet.InstanceID) {
	for key := range m.sent {
		if key.to == id {
			delete(m.sent, key)
		}
	}
}

// receiveManifest stores a manifest of another process and forwards it without delay.
func (g *Gateway) receiveManifest(manifest wire.Manifest, near bool) {
	if !g.manifests.add(manifest, near) {
		return
	}
	g.flushDue = true
	g.opts.Logger.Info("manifest_heard", zap.String("model", manifest.Model), zap.Uint64("version", manifest.Version),
		zap.Bool("near", near))
}
