package loader

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/wire"
)

// keptVersions is how many versions' chunks are held in memory: the wanted one,
// the one before, which may be loaded first, and the one that the engine holds,
// which new neighbours ask for.
const keptVersions = 3

const (
	// slowWrite is how long the engine may take to answer a chunk until that is told.
	slowWrite = 1500 * time.Millisecond
	// writeTimeout ends the wait for it: the connection may have gone silent for
	// good, and nothing else is staged meanwhile.
	writeTimeout = 4 * time.Second
)

// stage keeps the chunks of a version in memory, where peers get them, and in
// the engine's stage, where the engine loads them. It implements weights.Stage
// and, with the platform's origin, weights.Source.
type stage struct {
	engine Engine
	origin Origin
	logger *zap.Logger

	mu       sync.Mutex
	versions []*stagedVersion // oldest first

	// writing keeps the chunks of one version out of the engine's stage while
	// another version is checked there and ordered, until it is known what became
	// of the order: the engine has one place for each chunk number, and would load
	// a mixture of both.
	writing sync.Mutex
}

// stagedVersion is one version with the chunks that were checked.
type stagedVersion struct {
	number   uint64
	supply   wire.Supply
	digest   fleet.Digest
	manifest weights.Manifest
	raw      []byte
	chunks   map[int][]byte
	last     time.Time // when a chunk was kept last
}

func newStage(engine Engine, origin Origin, logger *zap.Logger) *stage {
	return &stage{engine: engine, origin: origin, logger: logger}
}

// resolve reads the manifest of a version, 0 for the newest, and returns the
// name that the chunks go by. It is read twice: nothing pins its bytes, and
// one that was spoilt on its way would make every good chunk look bad.
func (s *stage) resolve(ctx context.Context, supply wire.Supply, wanted uint64) (uint64, fleet.Version, []byte, error) {
	manifest, number, err := s.origin.Manifest(ctx, supply, wanted)
	if err != nil {
		return 0, fleet.Version{}, nil, err
	}
	raw, digest, err := manifest.Encode()
	if err != nil {
		return 0, fleet.Version{}, nil, err
	}
	again, _, err := s.origin.Manifest(ctx, supply, number)
	if err != nil {
		return 0, fleet.Version{}, nil, err
	}
	_, second, err := again.Encode()
	if err != nil {
		return 0, fleet.Version{}, nil, err
	}
	if second != digest {
		return 0, fleet.Version{}, nil, failure.Corrupt.New("two readings of the manifest of version %d differ", number)
	}
	s.add(&stagedVersion{
		number: number, supply: supply, digest: digest, manifest: manifest, raw: raw, chunks: make(map[int][]byte),
	})
	return number, versionOf(supply, number, digest), raw, nil
}

// adopt takes a manifest that another agent has read and returns the name that
// its chunks go by.
func (s *stage) adopt(supply wire.Supply, heard wire.Manifest) (fleet.Version, error) {
	digest := fleet.DigestOf(heard.Raw)
	manifest, err := weights.Decode(heard.Raw, digest)
	if err != nil {
		return fleet.Version{}, err
	}
	s.add(&stagedVersion{
		number: heard.Version, supply: supply, digest: digest, manifest: manifest, raw: heard.Raw, chunks: make(map[int][]byte),
	})
	return versionOf(supply, heard.Version, digest), nil
}

func versionOf(supply wire.Supply, number uint64, digest fleet.Digest) fleet.Version {
	return fleet.Version{Name: supply.Model + "/" + strconv.FormatUint(number, 10), Manifest: digest}
}

func (s *stage) add(v *stagedVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.versions {
		if held.digest == v.digest {
			return
		}
	}
	s.versions = append(s.versions, v)
	if len(s.versions) > keptVersions {
		s.versions = s.versions[1:]
	}
}

func (s *stage) version(digest fleet.Digest) (*stagedVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.versions {
		if v.digest == digest {
			return v, nil
		}
	}
	return nil, failure.NotFound.New("manifest %s is not staged here", digest)
}

// stalledAfter is how long no chunk may come until a gather counts as stalled.
const stalledAfter = 900 * time.Millisecond

// restTime is how long the chunks that are missing take over the instance's
// link at least; loading.Far while none come.
func (s *stage) restTime(now time.Time, g gathering, linkBytes int64) time.Duration {
	v, err := s.numbered(g.version)
	if err != nil || linkBytes <= 0 {
		return loading.NotExpected
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing int64
	for _, c := range v.manifest.Chunks {
		if _, held := v.chunks[c.Index]; !held {
			missing += int64(c.Bytes)
		}
	}
	if missing > 0 && g.started && now.Sub(g.from) > stalledAfter && now.Sub(v.last) > stalledAfter {
		return loading.NotExpected
	}
	return time.Duration(float64(missing) / (weightsShare * float64(linkBytes)) * float64(time.Second))
}

// isArriving reports whether a version is not whole and its chunks come, seen from a
// moment on at which the origin answered.
func (s *stage) isArriving(now time.Time, g gathering, answered time.Time) bool {
	v, err := s.numbered(g.version)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isWhole := len(v.chunks) == len(v.manifest.Chunks)
	if isWhole {
		return false
	}
	return now.Sub(answered) <= stalledAfter || now.Sub(v.last) <= stalledAfter
}

// missing returns the share of a version's chunks that are not here.
func (s *stage) missing(number uint64) float64 {
	v, err := s.numbered(number)
	if err != nil {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 - float64(len(v.chunks))/float64(len(v.manifest.Chunks))
}

// Held implements weights.Stage. What the engine's stage holds may be of
// another version or have turned bad, so each chunk is read and checked.
func (s *stage) Held(ctx context.Context, manifest fleet.Digest) ([]int, error) {
	v, err := s.version(manifest)
	if err != nil {
		return nil, err
	}
	listed, err := s.engine.Held(ctx, v.supply.Model)
	if err != nil {
		return nil, err
	}
	var held []int
	for _, number := range listed {
		if number < 0 || number >= len(v.manifest.Chunks) {
			continue
		}
		data, err := s.engine.Get(ctx, v.supply.Model, number)
		if err != nil {
			return held, err
		}
		if v.manifest.Chunks[number].Verify(data) != nil {
			continue // of the version before, or spoilt; it is fetched
		}
		s.keep(v, number, data)
		held = append(held, number)
	}
	return held, nil
}

func (s *stage) keep(v *stagedVersion, number int, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.chunks[number] = data
	v.last = time.Now()
}

// Put implements weights.Stage.
func (s *stage) Put(ctx context.Context, manifest fleet.Digest, index int, data []byte) error {
	v, err := s.version(manifest)
	if err != nil {
		return err
	}
	s.keep(v, index, data)
	s.writing.Lock()
	defer s.writing.Unlock()
	return s.write(ctx, v, index, data)
}

// write stages a chunk and waits until the engine has answered, also when ctx ends
// meanwhile: it may come to what is given up on its way once the stage has been
// checked for another version.
func (s *stage) write(ctx context.Context, v *stagedVersion, index int, data []byte) error {
	if err := ctx.Err(); err != nil {
		return failure.Unavailable.Wrap(err, "chunk %d not staged", index)
	}
	slow := time.AfterFunc(slowWrite, func() {
		s.logger.Warn("chunk_unanswered", zap.Int("chunk", index), zap.Uint64("version", v.number))
	})
	defer slow.Stop()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	return s.engine.Put(ctx, v.supply.Model, index, data)
}

// Get implements weights.Stage.
func (s *stage) Get(_ context.Context, manifest fleet.Digest, index int) ([]byte, error) {
	v, err := s.version(manifest)
	if err != nil {
		return nil, err
	}
	data, ok := s.chunk(v, index)
	if !ok {
		return nil, failure.NotFound.New("chunk %d is not held", index)
	}
	return data, nil
}

func (s *stage) chunk(v *stagedVersion, index int) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := v.chunks[index]
	return data, ok
}

// Drop implements weights.Stage.
func (s *stage) Drop(context.Context, fleet.Digest) error { return nil }

// manifest returns the encoded manifest that was read before, nil if none was.
func (s *stage) manifest(digest fleet.Digest) []byte {
	v, err := s.version(digest)
	if err != nil {
		return nil
	}
	return v.raw
}

// Manifest implements weights.Source.
func (s *stage) Manifest(_ context.Context, manifest fleet.Digest) ([]byte, error) {
	v, err := s.version(manifest)
	if err != nil {
		return nil, err
	}
	return v.raw, nil
}

// Chunk implements weights.Source.
func (s *stage) Chunk(ctx context.Context, manifest fleet.Digest, chunk weights.Chunk) ([]byte, error) {
	v, err := s.version(manifest)
	if err != nil {
		return nil, err
	}
	return s.origin.Chunk(ctx, v.supply, v.number, chunk.Index)
}

// repair reads every chunk of a version back from the engine's stage and
// stages those anew that are missing or have turned bad.
func (s *stage) repair(ctx context.Context, v *stagedVersion) error {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	for _, c := range v.manifest.Chunks {
		data, err := s.engine.Get(ctx, v.supply.Model, c.Index)
		if err == nil && c.Verify(data) == nil {
			continue
		}
		good, ok := s.chunk(v, c.Index)
		if !ok {
			return failure.NotFound.New("chunk %d of version %d is not held", c.Index, v.number)
		}
		s.logger.Warn("chunk_staged_again", zap.Int("chunk", c.Index), zap.Uint64("version", v.number), zap.Error(err))
		if err := s.write(ctx, v, c.Index, good); err != nil {
			return err
		}
	}
	return nil
}

func (s *stage) numbered(number uint64) (*stagedVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.versions {
		if v.number == number {
			return v, nil
		}
	}
	return nil, failure.NotFound.New("version %d is not staged here", number)
}
