package loader

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/wire"
)

// keptVersions is the number of versions whose chunks are held in memory: the wanted
// one, the previous one, which may be loaded first, and the one that the engine has
// loaded, which new peers request.
const keptVersions = 3

const (
	// slowWriteThreshold is how long the engine may take to respond to a chunk before a
	// warning is logged.
	slowWriteThreshold = 1500 * time.Millisecond
	// writeTimeout ends the wait for the response: the connection may have gone silent
	// permanently, and nothing else is staged in the meantime.
	writeTimeout = 4 * time.Second
)

// stage keeps the chunks of a version in memory, from where peers get them, and in the
// engine's stage, from where the engine loads them. It implements weights.Stage and,
// with the platform's origin, weights.Source.
type stage struct {
	engine Engine
	origin Origin
	logger *zap.Logger

	mu       sync.Mutex
	versions []*stagedVersion // oldest first

	// writeMu keeps the chunks of one version out of the engine's stage while another
	// version is verified and ordered there, until the outcome of the order is known:
	// the engine has one location for each chunk number and would load chunks of both
	// versions.
	writeMu sync.Mutex
	// mayHaveUnread is true while the engine may still read messages that nobody waits for: of
	// a previous process of the agent, or chunks without a response. writeMu guards it.
	mayHaveUnread bool
}

// stagedVersion is one version with its verified chunks.
type stagedVersion struct {
	number      uint64
	supply      wire.Supply
	digest      fleet.Digest
	manifest    weights.Manifest
	raw         []byte
	chunks      map[int][]byte
	lastChunkAt time.Time // when a chunk was last stored
	isFetched   bool      // its chunks are fetched, rather than those of another manifest of the number
}

func newStage(engine Engine, origin Origin, logger *zap.Logger) *stage {
	return &stage{engine: engine, origin: origin, logger: logger}
}

// readManifest reads the manifest of a version from the origin, 0 for the newest, and
// returns the version that identifies its chunks. It reads the manifest twice: no
// digest is known in advance, and with a manifest that was corrupted in transit every
// valid chunk would fail verification.
func (s *stage) readManifest(ctx context.Context, supply wire.Supply, wanted uint64) (uint64, fleet.Version, []byte, error) {
	first, err := s.readVersion(ctx, supply, wanted)
	if err != nil {
		return 0, fleet.Version{}, nil, err
	}
	second, err := s.readVersion(ctx, supply, first.number)
	if err != nil {
		return 0, fleet.Version{}, nil, err
	}
	if second.digest != first.digest {
		return 0, fleet.Version{}, nil, failure.Corrupt.New("two reads of the manifest of version %d differ", first.number)
	}
	s.add(first)
	return first.number, versionOf(supply, first.number, first.digest), first.raw, nil
}

// readVersion reads the manifest of a version from the origin once, 0 for the newest. It
// fails if the origin returns another version: the digest of the manifest does not cover
// the number.
func (s *stage) readVersion(ctx context.Context, supply wire.Supply, wanted uint64) (*stagedVersion, error) {
	manifest, number, err := s.origin.Manifest(ctx, supply, wanted)
	if err != nil {
		return nil, err
	}
	if wanted != 0 && number != wanted {
		return nil, failure.Corrupt.New("the origin returned the manifest of version %d, want %d", number, wanted)
	}
	if err := checkManifest(supply, manifest); err != nil {
		return nil, err
	}
	raw, digest, err := manifest.Encode()
	if err != nil {
		return nil, err
	}
	return &stagedVersion{
		number: number, supply: supply, digest: digest, manifest: manifest, raw: raw, chunks: make(map[int][]byte),
	}, nil
}

// addManifest adds a manifest that another agent has read and returns the version that
// identifies its chunks.
func (s *stage) addManifest(supply wire.Supply, received wire.Manifest) (fleet.Version, error) {
	digest := fleet.DigestOf(received.Raw)
	manifest, err := weights.Decode(received.Raw, digest)
	if err != nil {
		return fleet.Version{}, err
	}
	if err := checkManifest(supply, manifest); err != nil {
		return fleet.Version{}, err
	}
	s.add(&stagedVersion{
		number: received.Version, supply: supply, digest: digest, manifest: manifest, raw: received.Raw, chunks: make(map[int][]byte),
	})
	return versionOf(supply, received.Version, digest), nil
}

func versionOf(supply wire.Supply, number uint64, digest fleet.Digest) fleet.Version {
	return fleet.Version{Name: supply.Model + "/" + strconv.FormatUint(number, 10), Manifest: digest}
}

// add adds a version, unless it is held. A version with the content of another one shares
// its chunks: the operator may publish older weights again under a new number.
func (s *stage) add(v *stagedVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.versions {
		if held.digest != v.digest {
			continue
		}
		if held.number == v.number {
			return
		}
		v.chunks = held.chunks
	}
	s.versions = append(s.versions, v)
	if len(s.versions) > keptVersions {
		s.versions = s.versions[1:]
	}
}

// versionByDigest returns the newest of the versions with a manifest that are fetched, or
// else the newest of all: the origin serves the chunks of the newest versions only.
func (s *stage) versionByDigest(digest fleet.Digest) (*stagedVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest *stagedVersion
	for _, v := range s.versions {
		if v.digest == digest && (newest == nil || v.isFetched || !newest.isFetched) {
			newest = v
		}
	}
	if newest == nil {
		return nil, failure.NotFound.New("manifest %s is not staged here", digest)
	}
	return newest, nil
}

// fetchStallTimeout is the time without a chunk after which a fetch counts as stalled.
const fetchStallTimeout = 900 * time.Millisecond

// remainingTime returns the minimum time for the missing chunks over the instance's
// link; loading.NotExpected while none arrive.
func (s *stage) remainingTime(now time.Time, g versionFetch, linkBytes int64) time.Duration {
	v, err := s.versionByNumber(g.version)
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
	if missing > 0 && g.started && now.Sub(g.since) > fetchStallTimeout && now.Sub(v.lastChunkAt) > fetchStallTimeout {
		return loading.NotExpected
	}
	return time.Duration(float64(missing) / (weightsShare * float64(linkBytes)) * float64(time.Second))
}

// isArriving reports whether a version is incomplete and its chunks are arriving.
// lastResponse is when the origin last responded.
func (s *stage) isArriving(now time.Time, g versionFetch, lastResponse time.Time) bool {
	v, err := s.versionByNumber(g.version)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isComplete := len(v.chunks) == len(v.manifest.Chunks)
	if isComplete {
		return false
	}
	return now.Sub(lastResponse) <= fetchStallTimeout || now.Sub(v.lastChunkAt) <= fetchStallTimeout
}

// missingShare returns the fraction of a version's chunks that are not held here.
func (s *stage) missingShare(number uint64) float64 {
	v, err := s.versionByNumber(number)
	if err != nil {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 - float64(len(v.chunks))/float64(len(v.manifest.Chunks))
}

// Held implements weights.Stage. The engine's stage may hold chunks of another version
// or corrupt ones, so each chunk is read and verified.
func (s *stage) Held(ctx context.Context, manifest fleet.Digest) ([]int, error) {
	v, err := s.versionByDigest(manifest)
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
			continue // of the previous version, or corrupt; it is fetched
		}
		s.setChunk(v, number, data)
		held = append(held, number)
	}
	return held, nil
}

func (s *stage) setChunk(v *stagedVersion, number int, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.chunks[number] = data
	v.lastChunkAt = time.Now()
}

// Put implements weights.Stage.
func (s *stage) Put(ctx context.Context, manifest fleet.Digest, index int, data []byte) error {
	v, err := s.versionByDigest(manifest)
	if err != nil {
		return err
	}
	s.setChunk(v, index, data)
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.awaitCatchUp(ctx); err != nil {
		return err
	}
	return s.write(ctx, v, index, data)
}

// write stages a chunk and waits until the engine has responded, even if ctx ends in
// the meantime: an abandoned write may still reach the engine after the stage was
// verified for another version.
func (s *stage) write(ctx context.Context, v *stagedVersion, index int, data []byte) error {
	if err := ctx.Err(); err != nil {
		return failure.Unavailable.Wrap(err, "chunk %d not staged", index)
	}
	slow := time.AfterFunc(slowWriteThreshold, func() {
		s.logger.Warn("chunk_unanswered", zap.Int("chunk", index), zap.Uint64("version", v.number))
	})
	defer slow.Stop()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	err := s.engine.Put(ctx, v.supply.Model, index, data)
	if err != nil && !errorx.IsOfType(err, exchange.Refused) {
		s.mayHaveUnread = true
	}
	return err
}

// Get implements weights.Stage.
func (s *stage) Get(_ context.Context, manifest fleet.Digest, index int) ([]byte, error) {
	v, err := s.versionByDigest(manifest)
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

// manifest returns the encoded manifest that was read before, or nil.
func (s *stage) manifest(digest fleet.Digest) []byte {
	v, err := s.versionByDigest(digest)
	if err != nil {
		return nil
	}
	return v.raw
}

// Manifest implements weights.Source.
func (s *stage) Manifest(_ context.Context, manifest fleet.Digest) ([]byte, error) {
	v, err := s.versionByDigest(manifest)
	if err != nil {
		return nil, err
	}
	return v.raw, nil
}

// Chunk implements weights.Source.
func (s *stage) Chunk(ctx context.Context, manifest fleet.Digest, chunk weights.Chunk) ([]byte, error) {
	v, err := s.versionByDigest(manifest)
	if err != nil {
		return nil, err
	}
	return s.origin.Chunk(ctx, v.supply, v.number, chunk.Index)
}

// check is one pass over the whole stage of a version.
type check struct {
	startedAt time.Time
	repaired  int // chunks that were missing or corrupt and have been staged again
}

// repair reads every chunk of a version back from the engine's stage and stages the
// missing and corrupt ones again.
func (s *stage) repair(ctx context.Context, v *stagedVersion) (check, error) {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	c := check{startedAt: time.Now()}
	for _, chunk := range v.manifest.Chunks {
		data, err := s.engine.Get(ctx, v.supply.Model, chunk.Index)
		if err == nil && chunk.Verify(data) == nil {
			continue
		}
		good, ok := s.chunk(v, chunk.Index)
		if !ok {
			return c, failure.NotFound.New("chunk %d of version %d is not held", chunk.Index, v.number)
		}
		s.logger.Warn("chunk_staged_again", zap.Int("chunk", chunk.Index), zap.Uint64("version", v.number), zap.Error(err))
		c.repaired++
		if err := s.write(ctx, v, chunk.Index, good); err != nil {
			return c, err
		}
	}
	s.logger.Info("stage_checked", zap.Uint64("version", v.number), zap.Int("chunks", len(v.manifest.Chunks)),
		zap.Int("repaired", c.repaired), zap.Duration("took", time.Since(c.startedAt)))
	return c, nil
}

// countDamaged reads every chunk of a version back from the engine's stage and returns the
// number of those that are missing, corrupt or of another version.
func (s *stage) countDamaged(ctx context.Context, v *stagedVersion) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	damaged := 0
	for _, chunk := range v.manifest.Chunks {
		data, err := s.engine.Get(ctx, v.supply.Model, chunk.Index)
		if err != nil && !errorx.IsOfType(err, failure.NotFound) {
			return damaged, err
		}
		if err != nil || chunk.Verify(data) != nil {
			damaged++
		}
	}
	return damaged, nil
}

// versionByNumber returns the manifest of a version that is fetched, or else the newest
// one. Two manifests may have one number, and the load is checked against the returned one.
func (s *stage) versionByNumber(number uint64) (*stagedVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest *stagedVersion
	for _, v := range s.versions {
		if v.number != number {
			continue
		}
		if v.isFetched {
			return v, nil
		}
		newest = v
	}
	if newest == nil {
		return nil, failure.NotFound.New("version %d is not staged here", number)
	}
	return newest, nil
}

// markFetched records which manifest of a version is fetched.
func (s *stage) markFetched(number uint64, digest fleet.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.versions {
		if v.number == number {
			v.isFetched = v.digest == digest
		}
	}
}
