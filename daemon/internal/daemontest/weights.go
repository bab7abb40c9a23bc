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

// Model is a version with its bytes.
type Model struct {
	Version  fleet.Version
	Manifest weights.Manifest
	Raw      []byte // the encoded manifest
	Chunks   [][]byte
}

// NewModel makes a version of the given chunks.
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

// RandomChunks returns chunks that no other call returns.
func RandomChunks(count, size int) [][]byte {
	random := rand.NewChaCha8([32]byte{byte(chunkSeed.next())})
	chunks := make([][]byte, count)
	for i := range chunks {
		chunks[i] = make([]byte, size)
		_, _ = random.Read(chunks[i]) // never fails
	}
	return chunks
}

// chunkSeed numbers the calls of RandomChunks.
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

// Source is the origin or the store. Faults are set per call, so that they can
// begin and end in the middle of a version.
type Source struct {
	mu        sync.Mutex
	models    map[fleet.Digest]Model
	manifests int
	drawn     []Draw
	fault     func(ctx context.Context, draw Draw) error
	spoil     func(draw Draw, data []byte) []byte
	broken    bool
}

// Draw is one call for a chunk. Chunk is -1 for the manifest.
type Draw struct {
	Manifest fleet.Digest
	Chunk    int
}

var _ weights.Source = (*Source)(nil)

// NewSource returns a source of models that works.
func NewSource(models ...Model) *Source {
	s := &Source{models: make(map[fleet.Digest]Model)}
	for _, m := range models {
		s.models[m.Version.Manifest] = m
	}
	return s
}

// Fail asks fault before each answer: an error is the answer, nil gives the
// true one. A fault that waits is a stall. Nil ends it.
func (s *Source) Fail(fault func(ctx context.Context, draw Draw) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Spoil lets spoil change the bytes of chunks. Nil ends it.
func (s *Source) Spoil(spoil func(draw Draw, data []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoil = spoil
}

// Break makes every transfer of a chunk end after half of it.
func (s *Source) Break() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = true
}

// Drawn returns the calls for chunks so far, failed ones included.
func (s *Source) Drawn() []Draw {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.drawn)
}

// Manifests returns how often the source was asked for a manifest.
func (s *Source) Manifests() int {
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
		if err := fault(ctx, Draw{Manifest: manifest, Chunk: -1}); err != nil {
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
	draw := Draw{Manifest: manifest, Chunk: chunk.Index}
	s.mu.Lock()
	s.drawn = append(s.drawn, draw)
	m, found := s.models[manifest]
	fault, spoil, broken := s.fault, s.spoil, s.broken
	s.mu.Unlock()
	if fault != nil {
		if err := fault(ctx, draw); err != nil {
			return nil, err
		}
	}
	if !found {
		return nil, failure.NotFound.New("no manifest %s", manifest)
	}
	data := slices.Clone(m.Chunks[chunk.Index])
	if broken {
		return data[:len(data)/2], failure.Unavailable.New("the connection ended within the chunk")
	}
	if spoil != nil {
		data = spoil(draw, data)
	}
	return data, nil
}

// Stall waits until ctx ends, as a link does that brings nothing more and does
// not close.
func Stall(ctx context.Context) error {
	<-ctx.Done()
	return failure.Timeout.Wrap(ctx.Err(), "no byte came")
}

// Stage keeps chunks in memory and outlives the process that filled it.
type Stage struct {
	mu     sync.Mutex
	chunks map[fleet.Digest]map[int][]byte
	puts   int
	refuse bool
	spoilt bool
}

var _ weights.Stage = (*Stage)(nil)

// NewStage returns an empty stage.
func NewStage() *Stage { return &Stage{chunks: make(map[fleet.Digest]map[int][]byte)} }

// Fill puts chunks of a model in, all if none is named.
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

// Refuse makes Put fail, or ends that.
func (s *Stage) Refuse(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
}

// Spoil makes Get give other bytes than were put in.
func (s *Stage) Spoil() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoilt = true
}

// Clear forgets everything, as an engine does that restarts.
func (s *Stage) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.chunks)
}

// Puts returns how many chunks were stored, each time counted.
func (s *Stage) Puts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.puts
}

// Holds reports whether the stage holds the right bytes of every chunk.
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
	if s.refuse {
		return failure.Refused.New("the stage takes nothing")
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
	if s.spoilt {
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
