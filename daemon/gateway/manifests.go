package gateway

import (
	"cmp"
	"maps"
	"slices"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

// maxManifests bounds the manifests of one model that are held: that of the named version
// and a few of higher versions, which an agent may know of earlier.
const maxManifests = 4

// maxManifestBytes bounds the manifests of all models, and maxUnnamedBytes up to which
// total one is held whose model has no named version: peers may send any. The largest fleet
// has nine models, with manifests of up to 1 MB.
const (
	maxManifestBytes = 16 << 20
	maxUnnamedBytes  = maxManifestBytes / 2
)

// manifests holds the manifest of the newest named version of each model and those of
// higher versions, and the processes to which they were sent. It belongs to the control
// loop.
//
// Each agent that reads a manifest from the origin uses a connection and a part of its
// link. If all agents read it, they would use every connection that the origin has, and
// the time of a part of a copy. So a few agents read it, and the entries send it to the
// others.
type manifests struct {
	held map[string][]knownManifest // by model, in ascending order of versions
	sent map[sentManifest]bool
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
	return manifests{held: make(map[string][]knownManifest), sent: make(map[sentManifest]bool)}
}

func bytesOf(held []knownManifest) int {
	n := 0
	for _, k := range held {
		n += len(k.Raw)
	}
	return n
}

// bytesBesides returns the size of the manifests that are held of other models.
func (m *manifests) bytesBesides(model string) int {
	n := 0
	for name, held := range m.held {
		if name != model {
			n += bytesOf(held)
		}
	}
	return n
}

// add stores a manifest, unless it or that of a newer version is known, and reports
// whether it did. named is the newest version that the operator named, 0 if none is known:
// versions above it do not count as newer, as their numbers may be wrong.
//
// If those of all models take too many bytes, it is not stored. If too many are held, the
// highest version is dropped. It is not accepted again until a newer version is named, so
// none circulates between entries.
func (m *manifests) add(manifest wire.Manifest, near bool, named uint64) bool {
	isWanted := named != 0 && manifest.Version >= named
	oldest := manifest.Version // that is still of use
	if isWanted {
		oldest = named
	}
	held := slices.DeleteFunc(slices.Clone(m.held[manifest.Model]), func(k knownManifest) bool { return k.Version < oldest })
	at, isKnown := slices.BinarySearchFunc(held, manifest.Version, func(k knownManifest, version uint64) int {
		return cmp.Compare(k.Version, version)
	})
	if isKnown || at < len(held) && !isWanted || at >= maxManifests {
		return false
	}
	limit := maxManifestBytes
	if !isWanted {
		limit = maxUnnamedBytes
	}
	if m.bytesBesides(manifest.Model)+bytesOf(held)+len(manifest.Raw) > limit {
		return false
	}
	held = slices.Insert(held, at, knownManifest{manifest, near})
	held = held[:min(len(held), maxManifests)]
	m.held[manifest.Model] = held
	maps.DeleteFunc(m.sent, func(key sentManifest, _ bool) bool {
		return key.model == manifest.Model && !slices.ContainsFunc(held, func(k knownManifest) bool { return k.Version == key.version })
	})
	return true
}

// forEntry returns the manifest to send to another entry, nil for none. An entry of the
// own group gets only those that came from agents or other groups, so that no manifest
// circulates within the group.
func (m *manifests) forEntry(to mesh.Peer) *wire.Manifest {
	for model := range m.held {
		if unsent := m.nextUnsent(to.ID, model, to.SameGroup); unsent != nil {
			return unsent
		}
	}
	return nil
}

// forAgent returns the manifest to send to an agent, nil for none.
func (m *manifests) forAgent(to fleet.InstanceID, model string) *wire.Manifest {
	return m.nextUnsent(to, model, false)
}

// nextUnsent returns each manifest of a model once for a process, that of the lowest
// version first, and nil after that. isSameGroup excludes those of the own group.
func (m *manifests) nextUnsent(to fleet.InstanceID, model string, isSameGroup bool) *wire.Manifest {
	for _, known := range m.held[model] {
		key := sentManifest{to, model, known.Version}
		if m.sent[key] || isSameGroup && known.fromOwnGroup {
			continue
		}
		m.sent[key] = true
		return &known.Manifest
	}
	return nil
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
	if !g.manifests.add(manifest, near, g.names[manifest.Model].Newest()) {
		return
	}
	g.flushDue = true
	g.opts.Logger.Info("manifest_heard", zap.String("model", manifest.Model), zap.Uint64("version", manifest.Version),
		zap.Bool("near", near))
}
