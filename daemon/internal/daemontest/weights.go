package daemontest

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/weights"
)

// Model is a model version with its chunks.
type Model struct {
	Version  fleet.Version
	Manifest weights.Manifest
	Raw      []byte // the encoded manifest
	Chunks   [][]byte
}

// NewModel returns a version that consists of the given chunks.
func NewModel(name string, chunks ...[]byte) Model {
	ginkgo.GinkgoHelper()
	m := Model{Chunks: chunks}
	m.Manifest.Model = name
	for i, data := range chunks {
		m.Manifest.Chunks = append(m.Manifest.Chunks, weights.Chunk{Index: i, Bytes: len(data), Digest: fleet.DigestOf(data)})
	}
	raw, digest, err := m.Manifest.Encode()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	m.Raw = raw
	m.Version = fleet.Version{Name: name, Manifest: digest}
	return m
}

// RandomChunks returns chunks that differ from those of every other call.
func RandomChunks(count, size int) [][]byte {
	random := rand.NewChaCha8([32]byte{byte(chunkSeed.next())})
	chunks := make([][]byte, count)
	for i := range chunks {
		chunks[i] = make([]byte, size)
		_, _ = random.Read(chunks[i]) // never fails
	}
	return chunks
}

// chunkSeed counts the calls of RandomChunks.
var chunkSeed counter

type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n
}

// Source is a fake origin or weight store. Faults are decided per call, so that
// they can begin and end in the middle of a version.
type Source struct {
	mu        sync.Mutex
	models    map[fleet.Digest]Model
	manifests int
	fetches   []Fetch
	fault     func(ctx context.Context, fetch Fetch) error
	corrupt   func(fetch Fetch, data []byte) []byte
	truncate  bool
}

// Fetch is one fetch from a Source. Chunk is -1 for the manifest.
type Fetch struct {
	Manifest fleet.Digest
	Chunk    int
}

var _ weights.Source = (*Source)(nil)

// NewSource returns a source of the given models without faults.
func NewSource(models ...Model) *Source {
	s := &Source{models: make(map[fleet.Digest]Model)}
	for _, m := range models {
		s.models[m.Version.Manifest] = m
	}
	return s
}

// SetFault sets a function that is called before each response: if it returns an
// error, the fetch fails with that error. A fault that blocks is a stall. A nil
// function ends the faults.
func (s *Source) SetFault(fault func(ctx context.Context, fetch Fetch) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// CorruptWith lets a function change the bytes of chunks; nil ends this.
func (s *Source) CorruptWith(corrupt func(fetch Fetch, data []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corrupt = corrupt
}

// TruncateTransfers makes every transfer of a chunk end halfway with an error.
func (s *Source) TruncateTransfers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncate = true
}

// Fetches returns the fetches of chunks so far, including failed ones.
func (s *Source) Fetches() []Fetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.fetches)
}

// ManifestFetches returns the number of requests for a manifest.
func (s *Source) ManifestFetches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manifests
}

// Manifest implements weights.Source.
func (s *Source) Manifest(ctx context.Context, manifest fleet.Digest) ([]byte, error) {
	s.mu.Lock()
	s.manifests++
	m, found := s.models[manifest]
	fault := s.fault
	s.mu.Unlock()
	if fault != nil {
		if err := fault(ctx, Fetch{Manifest: manifest, Chunk: -1}); err != nil {
			return nil, err
		}
	}
	if !found {
		return nil, failure.NotFound.New("no manifest %s", manifest)
	}
	return m.Raw, nil
}

// Chunk implements weights.Source.
func (s *Source) Chunk(ctx context.Context, manifest fleet.Digest, chunk weights.Chunk) ([]byte, error) {
	fetch := Fetch{Manifest: manifest, Chunk: chunk.Index}
	s.mu.Lock()
	s.fetches = append(s.fetches, fetch)
	m, found := s.models[manifest]
	fault, corrupt, truncate := s.fault, s.corrupt, s.truncate
	s.mu.Unlock()
	if fault != nil {
		if err := fault(ctx, fetch); err != nil {
			return nil, err
		}
	}
	if !found {
		return nil, failure.NotFound.New("no manifest %s", manifest)
	}
	data := slices.Clone(m.Chunks[chunk.Index])
	if truncate {
		return data[:len(data)/2], failure.Unavailable.New("connection closed halfway through the chunk")
	}
	if corrupt != nil {
		data = corrupt(fetch, data)
	}
	return data, nil
}

// Stall blocks until ctx ends, like a link that delivers no more bytes but does
// not close.
func Stall(ctx context.Context) error {
	<-ctx.Done()
	return failure.Timeout.Wrap(ctx.Err(), "no byte received")
}

// Stage is a fake stage that keeps chunks in memory and outlives the process
// that filled it.
type Stage struct {
	mu        sync.Mutex
	chunks    map[fleet.Digest]map[int][]byte
	puts      int
	rejecting bool
	corrupt   bool
}

var _ weights.Stage = (*Stage)(nil)

// NewStage returns an empty stage.
func NewStage() *Stage { return &Stage{chunks: make(map[fleet.Digest]map[int][]byte)} }

// Fill stores the given chunks of a model, or all of them if no index is given.
func (s *Stage) Fill(m Model, indexes ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(indexes) == 0 {
		for i := range m.Chunks {
			indexes = append(indexes, i)
		}
	}
	for _, i := range indexes {
		s.put(m.Version.Manifest, i, m.Chunks[i])
	}
}

// SetRejecting sets whether Put fails.
func (s *Stage) SetRejecting(rejecting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting = rejecting
}

// Corrupt makes Get return other bytes than were stored.
func (s *Stage) Corrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corrupt = true
}

// Clear removes all chunks, as a restart of the engine does.
func (s *Stage) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.chunks)
}

// Puts returns the number of successful calls of Put.
func (s *Stage) Puts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.puts
}

// Holds reports whether the stage holds the correct bytes of every chunk.
func (s *Stage) Holds(m Model) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.chunks[m.Version.Manifest]
	for i, data := range m.Chunks {
		if !slices.Equal(held[i], data) {
			return false
		}
	}
	return true
}

func (s *Stage) put(manifest fleet.Digest, index int, data []byte) {
	if s.chunks[manifest] == nil {
		s.chunks[manifest] = make(map[int][]byte)
	}
	s.chunks[manifest][index] = slices.Clone(data)
}

// Held implements weights.Stage.
func (s *Stage) Held(_ context.Context, manifest fleet.Digest) ([]int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held []int
	for index := range s.chunks[manifest] {
		held = append(held, index)
	}
	slices.Sort(held)
	return held, nil
}

// Put implements weights.Stage.
func (s *Stage) Put(_ context.Context, manifest fleet.Digest, index int, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejecting {
		return failure.Refused.New("stage rejects all chunks")
	}
	s.puts++
	s.put(manifest, index, data)
	return nil
}

// Get implements weights.Stage.
func (s *Stage) Get(_ context.Context, manifest fleet.Digest, index int) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, found := s.chunks[manifest][index]
	if !found {
		return nil, failure.NotFound.New("chunk %d is not staged", index)
	}
	data = slices.Clone(data)
	if s.corrupt {
		data[0]++
	}
	return data, nil
}

// Drop implements weights.Stage.
func (s *Stage) Drop(_ context.Context, manifest fleet.Digest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.chunks, manifest)
	return nil
}
