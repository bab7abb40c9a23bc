package engine

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/weights"
	"chivespindle.example/standin/engine/backend"
)

// maxManifestBytes bounds an encoded manifest.
const maxManifestBytes = 16 << 20

// stagedVersion holds the manifest and chunks of one version that is staged.
type stagedVersion struct {
	manifest *weights.Manifest // nil until it is staged
	chunks   map[int][]byte
}

// stagedEntry returns the entry of a manifest and creates it if necessary. The
// caller holds mu.
func (e *Engine) stagedEntry(manifest fleet.Digest) *stagedVersion {
	staged := e.staged[manifest]
	if staged == nil {
		staged = &stagedVersion{chunks: make(map[int][]byte)}
		e.staged[manifest] = staged
	}
	return staged
}

func (e *Engine) putManifest(w http.ResponseWriter, r *http.Request) {
	digest, raw, ok := readStaged(w, r, maxManifestBytes)
	if !ok {
		return
	}
	manifest, err := weights.Decode(raw, digest)
	if err != nil {
		backend.WriteError(w, http.StatusUnprocessableEntity, err.Error())
		return
	}
	e.mu.Lock()
	e.stagedEntry(digest).manifest = &manifest
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) putChunk(w http.ResponseWriter, r *http.Request) {
	index, ok := chunkIndex(w, r)
	if !ok {
		return
	}
	digest, data, ok := readStaged(w, r, weights.MaxChunkBytes)
	if !ok {
		return
	}
	e.mu.Lock()
	e.stagedEntry(digest).chunks[index] = data
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getChunk(w http.ResponseWriter, r *http.Request) {
	digest, ok := manifestDigest(w, r)
	if !ok {
		return
	}
	index, ok := chunkIndex(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	var data []byte
	if staged := e.staged[digest]; staged != nil {
		data = staged.chunks[index]
	}
	corrupt := e.faults.CorruptStage
	e.mu.Unlock()
	if data == nil {
		backend.WriteError(w, http.StatusNotFound, "the chunk is not staged")
		return
	}
	if corrupt && len(data) > 0 {
		data = bytes.Clone(data)
		data[len(data)/2] ^= 1
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func (e *Engine) listChunks(w http.ResponseWriter, r *http.Request) {
	digest, ok := manifestDigest(w, r)
	if !ok {
		return
	}
	indexes := []int{}
	e.mu.Lock()
	if staged := e.staged[digest]; staged != nil {
		indexes = slices.AppendSeq(indexes, maps.Keys(staged.chunks))
	}
	e.mu.Unlock()
	slices.Sort(indexes)
	backend.WriteJSON(w, http.StatusOK, indexes)
}

func (e *Engine) dropStaged(w http.ResponseWriter, r *http.Request) {
	digest, ok := manifestDigest(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	delete(e.staged, digest)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// readStaged reads the digest from the path and the body of the request. If ok
// is false, the error response has been written.
func readStaged(w http.ResponseWriter, r *http.Request, limit int64) (digest fleet.Digest, data []byte, ok bool) {
	digest, ok = manifestDigest(w, r)
	if !ok {
		return digest, nil, false
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		backend.WriteError(w, http.StatusRequestEntityTooLarge, err.Error())
		return digest, nil, false
	}
	return digest, data, true
}

func manifestDigest(w http.ResponseWriter, r *http.Request) (fleet.Digest, bool) {
	digest, err := fleet.ParseDigest(r.PathValue("manifest"))
	if err != nil {
		backend.WriteError(w, http.StatusBadRequest, err.Error())
		return fleet.Digest{}, false
	}
	return digest, true
}

func chunkIndex(w http.ResponseWriter, r *http.Request) (int, bool) {
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil || index < 0 || index >= weights.MaxChunks {
		backend.WriteError(w, http.StatusBadRequest, "the chunk index is not a number in range")
		return 0, false
	}
	return index, true
}
