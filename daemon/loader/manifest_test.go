package loader

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/policy"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/control"
	"chivespindle.example/daemon/swarm"
	"chivespindle.example/daemon/wire"
)

// chunkSize is the size of the chunks of versions below 10.
var chunkSize = len(chunk(1, 0))

// manifestOf returns the manifest of the first chunks of a version.
func manifestOf(model string, version uint64, chunks int) weights.Manifest {
	m := weights.Manifest{Model: model}
	for number := range chunks {
		data := chunk(version, number)
		m.Chunks = append(m.Chunks, weights.Chunk{Index: number, Bytes: len(data), Digest: fleet.DigestOf(data)})
	}
	return m
}

func received(m weights.Manifest, version uint64) wire.Manifest {
	raw, _, err := m.Encode()
	Expect(err).NotTo(HaveOccurred())
	return wire.Manifest{Model: "m", Version: version, Raw: raw}
}

// scriptedOrigin answers each read of a manifest as a function of the requested version
// and of the number of earlier reads.
type scriptedOrigin struct {
	manifest func(version uint64, earlier int) (weights.Manifest, uint64)
	requests int
	chunksOf uint64 // version of the last chunk that was read
}

func (o *scriptedOrigin) Manifest(_ context.Context, _ wire.Supply, version uint64) (weights.Manifest, uint64, error) {
	o.requests++
	m, number := o.manifest(version, o.requests-1)
	return m, number, nil
}

func (o *scriptedOrigin) Chunk(_ context.Context, _ wire.Supply, version uint64, number int) ([]byte, error) {
	o.chunksOf = version
	return chunk(version, number), nil
}

var _ = Describe("A manifest", func() {
	ctx := context.Background()
	supply := wire.Supply{Model: "m", Chunks: chunkCount, ChunkBytes: chunkSize}
	var o *scriptedOrigin
	var e *engine
	var s *stage

	BeforeEach(func() {
		o = &scriptedOrigin{manifest: func(version uint64, _ int) (weights.Manifest, uint64) {
			return manifestOf("m", version, chunkCount), version
		}}
		e = &engine{staged: make(map[int][]byte), state: loading.Engine{Born: 1, Orders: loading.Orders{Reported: true}}}
		s = newStage(e, o, zap.NewNop())
	})

	// Guards against a load of mixed versions: the manifest lacks the last chunk, so the
	// check of the stage passes while that of the previous version is staged there.
	It("is refused if it lists another number of chunks than the configuration", func() {
		o.manifest = func(version uint64, _ int) (weights.Manifest, uint64) {
			return manifestOf("m", version, chunkCount-1), version
		}
		_, _, _, err := s.readManifest(ctx, supply, 2)
		Expect(err).To(MatchError(ContainSubstring("3 chunks, want 4")))
		_, err = s.addManifest(supply, received(manifestOf("m", 2, chunkCount-1), 2))
		Expect(err).To(MatchError(ContainSubstring("3 chunks, want 4")))
		Expect(s.versions).To(BeEmpty())
	})

	// Guards against chunks that are cut short or belong to another model.
	It("is refused if its chunks have another size than the configuration", func() {
		other := supply
		other.ChunkBytes++
		_, _, _, err := s.readManifest(ctx, other, 2)
		Expect(err).To(MatchError(ContainSubstring("bytes, want")))
		_, err = s.addManifest(other, received(manifestOf("m", 2, chunkCount), 2))
		Expect(err).To(MatchError(ContainSubstring("bytes, want")))
		Expect(s.versions).To(BeEmpty())
	})

	// Entries of earlier releases send neither the number nor the size of the chunks.
	It("is accepted if the configuration is not known", func() {
		_, err := s.addManifest(wire.Supply{Model: "m"}, received(manifestOf("m", 2, chunkCount), 2))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against weights of another version under the wanted number, and against two
	// reads of the origin on each tick.
	It("is refused, and read again after the retry delay, if the origin returns another version", func() {
		o.manifest = func(uint64, int) (weights.Manifest, uint64) { return manifestOf("m", 2, chunkCount), 2 }
		version, named, raw, err := s.readManifest(ctx, supply, 3)
		Expect(err).To(MatchError(ContainSubstring("version 2, want 3")))
		Expect(s.versions).To(BeEmpty())
		now := time.Now()
		l := &Loader{opts: Options{Logger: zap.NewNop()}, plan: loading.NewPlan("10.0.0.1", 8*time.Second, policy.Disabled{}), stage: s}
		l.handleManifestRead(now, version, named, raw, err)
		Expect(l.nextManifestRead).To(Equal(now.Add(manifestRetryDelay)))
	})

	// Guards against a number that only one of the two reads returned.
	It("is refused if the second read returns another version", func() {
		for _, wanted := range []uint64{0, 2} {
			o.manifest = func(_ uint64, earlier int) (weights.Manifest, uint64) {
				return manifestOf("m", 2, chunkCount), 2 + uint64(earlier%2)
			}
			_, _, _, err := s.readManifest(ctx, supply, wanted)
			Expect(err).To(MatchError(ContainSubstring("version 3, want 2")), "version %d is wanted", wanted)
			Expect(s.versions).To(BeEmpty())
		}
	})

	// Guards against an engine that loads the weights of another model.
	It("is refused if it lists the chunks of another model", func() {
		o.manifest = func(version uint64, _ int) (weights.Manifest, uint64) {
			return manifestOf("other", version, chunkCount), version
		}
		_, _, _, err := s.readManifest(ctx, supply, 2)
		Expect(err).To(MatchError(ContainSubstring("want m")))
		_, err = s.addManifest(supply, received(manifestOf("other", 2, chunkCount), 2))
		Expect(err).To(MatchError(ContainSubstring("want m")))
		Expect(s.versions).To(BeEmpty())
	})

	// Guards against a version that is fetched completely and never loaded, or is checked
	// against the chunks of another manifest, after an agent has read two manifests of it.
	It("is the one that its version is checked against if two of one number differ", func() {
		first, err := s.addManifest(supply, received(manifestOf("m", 5, chunkCount), 2))
		Expect(err).NotTo(HaveOccurred())
		_, second, _, err := s.readManifest(ctx, supply, 2)
		Expect(err).NotTo(HaveOccurred())
		checked := func() fleet.Digest {
			v, err := s.versionByNumber(2)
			Expect(err).NotTo(HaveOccurred())
			return v.digest
		}
		Expect(checked()).To(Equal(second.Manifest), "the newest")
		s.markFetched(2, first.Manifest)
		Expect(checked()).To(Equal(first.Manifest), "the one that is fetched")
		s.markFetched(2, second.Manifest)
		for number := range chunkCount {
			Expect(s.Put(ctx, second.Manifest, number, chunk(2, number))).To(Succeed())
		}
		Expect(load(ctx, s, supply, 2)).To(Succeed())
	})

	// Guards against a version that no engine ever loads, after the operator has published
	// the weights of an older version again under a new number.
	It("with the content of a kept version belongs to the new version as well", func() {
		o.manifest = func(version uint64, _ int) (weights.Manifest, uint64) { return manifestOf("m", 2, chunkCount), version }
		_, older, _, err := s.readManifest(ctx, supply, 2)
		Expect(err).NotTo(HaveOccurred())
		s.markFetched(2, older.Manifest)
		for number := range chunkCount {
			Expect(s.Put(ctx, older.Manifest, number, chunk(2, number))).To(Succeed())
		}
		for range 2 {
			_, newer, _, err := s.readManifest(ctx, supply, 4)
			Expect(err).NotTo(HaveOccurred())
			Expect(newer).NotTo(Equal(older))
			s.markFetched(4, newer.Manifest)
		}
		Expect(s.versions).To(HaveLen(2))
		Expect(load(ctx, s, supply, 4)).To(Succeed())
		Expect(e.version).To(Equal(uint64(4)))
		_, err = s.Chunk(ctx, older.Manifest, weights.Chunk{})
		Expect(err).NotTo(HaveOccurred())
		Expect(o.chunksOf).To(Equal(uint64(4)), "the origin no longer has the older one")
	})

	// Guards against the end of a fetch when an older version with the same content is dropped.
	It("is not dropped while a newer version has the same", func() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		dropped := make(dropRecorder, 1)
		l := &Loader{
			opts: Options{Logger: zap.NewNop()}, stage: s, supply: &supply, plan: loading.NewPlan("10.0.0.1", 8*time.Second, policy.Disabled{}),
			swarm: swarm.New(ctx, swarm.Options{Stage: dropped, Loop: control.New(control.Options{}), Logger: zap.NewNop()}),
		}
		now := time.Now()
		same, other := fleet.Digest{1}, fleet.Digest{2}
		for i, digest := range []fleet.Digest{same, other, same, {3}} {
			l.addFetch(now, uint64(i+2), versionOf(supply, uint64(i+2), digest))
		}
		Consistently(dropped, 30*time.Millisecond).ShouldNot(Receive())
		l.addFetch(now, 6, versionOf(supply, 6, fleet.Digest{4}))
		Eventually(dropped).Should(Receive(Equal(other)))
		l.addFetch(now, 7, versionOf(supply, 7, fleet.Digest{5}))
		Eventually(dropped).Should(Receive(Equal(same)))
	})

	// Guards against an order for one model after a check of the stage of another, once the
	// service at the engine's address serves another model.
	It("of another model than the service serves now is not ordered", func() {
		_, named, _, err := s.readManifest(ctx, supply, 2)
		Expect(err).NotTo(HaveOccurred())
		for number := range chunkCount {
			Expect(s.Put(ctx, named.Manifest, number, chunk(2, number))).To(Succeed())
		}
		err = load(ctx, s, wire.Supply{Model: "other"}, 2)
		Expect(errorx.IsOfType(err, orderNotSent)).To(BeTrue())
		Expect(e.orders).To(BeZero())
	})
})

// dropRecorder is a stage that records which manifests are dropped.
type dropRecorder chan fleet.Digest

func (dropRecorder) Held(context.Context, fleet.Digest) ([]int, error)      { return nil, nil }
func (dropRecorder) Put(context.Context, fleet.Digest, int, []byte) error   { return nil }
func (dropRecorder) Get(context.Context, fleet.Digest, int) ([]byte, error) { return nil, nil }
func (r dropRecorder) Drop(_ context.Context, manifest fleet.Digest) error {
	r <- manifest
	return nil
}
