package platform_test

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"chivespindle.example/adapters/platform"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/weights"
	standin "chivespindle.example/standin/platform"
)

// recordingLimiter notes what it is asked for and never waits.
type recordingLimiter struct {
	mu    sync.Mutex
	asked []int
}

func (l *recordingLimiter) WaitN(_ context.Context, n int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, n)
	return nil
}

var _ = Describe("WeightSource", func() {
	const modelBytes = 500_000
	var made standin.Model
	var server *standin.WeightServer
	var chunk weights.Chunk

	BeforeEach(func() {
		made = model(modelBytes, 200_000)
		server = holding(standin.WeightOptions{}, made)
		chunk = made.Manifest.Chunks[1]
	})

	It("brings a version whole", func(ctx SpecContext) {
		var source weights.Source = weightSource(platform.WeightOptions{BaseURL: serve(server)})
		raw, err := source.Manifest(ctx, made.Version.Manifest)
		Expect(err).NotTo(HaveOccurred())
		manifest, err := weights.Decode(raw, made.Version.Manifest)
		Expect(err).NotTo(HaveOccurred())
		Expect(manifest).To(Equal(made.Manifest))
		for _, chunk := range manifest.Chunks {
			data, err := source.Chunk(ctx, made.Version.Manifest, chunk)
			Expect(err).NotTo(HaveOccurred())
			Expect(chunk.Verify(data)).To(Succeed())
		}
		Expect(server.BytesSent()).To(BeEquivalentTo(modelBytes + len(raw)))
		Expect(server.ManifestBytesSent(made.Version.Manifest)).To(Equal(server.BytesSent()))
		Expect(server.Requests()).To(BeEquivalentTo(1 + len(manifest.Chunks)))
	})

	DescribeTable("a transfer that goes wrong, and the next that does not",
		func(ctx SpecContext, fault standin.Fault, stall time.Duration, want *errorx.Type) {
			url := serve(server)
			source := weightSource(platform.WeightOptions{BaseURL: url, StallTimeout: stall})
			server.FailNext(fault, 1)
			data, err := source.Chunk(ctx, made.Version.Manifest, chunk)
			Expect(err).To(beOfType(want))
			// What came counts as drawn from the source; it is never the whole.
			Expect(len(data)).To(BeNumerically("<", chunk.Bytes))
			Expect(bytes.HasPrefix(made.Chunks[chunk.Index], data)).To(BeTrue())

			source = weightSource(platform.WeightOptions{BaseURL: url, StallTimeout: longWait})
			data, err = source.Chunk(ctx, made.Version.Manifest, chunk)
			Expect(err).NotTo(HaveOccurred())
			Expect(chunk.Verify(data)).To(Succeed())
		},
		Entry("one byte short", standin.FaultTruncate, longWait, failure.Corrupt),
		Entry("one byte long", standin.FaultExtend, longWait, failure.Corrupt),
		Entry("cut in the middle", standin.FaultAbort, longWait, failure.Unavailable),
		Entry("stalled in the middle", standin.FaultStall, shortStall, failure.Timeout),
	)

	// The caller gets bytes without a failure, and its own check of the digest
	// refuses them. One bit has flipped on the way, which only the digest that
	// the operator's text pins can show.
	It("leaves the digest to its caller", func(ctx SpecContext) {
		source := weightSource(platform.WeightOptions{BaseURL: serve(server)})
		server.FailAlways(made.Version.Manifest, chunk.Index, standin.FaultCorrupt)
		for range 2 {
			data, err := source.Chunk(ctx, made.Version.Manifest, chunk)
			Expect(err).NotTo(HaveOccurred())
			Expect(chunk.Verify(data)).To(beOfType(failure.Corrupt))
		}
		server.ClearFaults()
		Expect(source.Chunk(ctx, made.Version.Manifest, chunk)).To(Equal(made.Chunks[chunk.Index]))
	})

	// The caller sees Timeout while its own deadline is far. The source sends
	// half of the chunk and then nothing, and the connection stays open: a
	// link that stalls does not close. The server must be left by the client.
	It("gives up a transfer that stalls and leaves the server", func() {
		source := weightSource(platform.WeightOptions{BaseURL: serve(server), StallTimeout: shortStall})
		server.FailNext(standin.FaultStall, 1)
		_, err := source.Chunk(context.Background(), made.Version.Manifest, chunk)
		Expect(err).To(beOfType(failure.Timeout))
		Expect(err).To(MatchError(ContainSubstring("brought no byte for 100ms")))
		Eventually(server.Stalled).Should(BeZero())
		Eventually(server.Transfers).Should(BeZero())
	})

	It("gives up a manifest that stalls", func(ctx SpecContext) {
		source := weightSource(platform.WeightOptions{BaseURL: serve(server), StallTimeout: shortStall})
		server.FailAlways(made.Version.Manifest, standin.ManifestIndex, standin.FaultStall)
		_, err := source.Manifest(ctx, made.Version.Manifest)
		Expect(err).To(beOfType(failure.Timeout))
	})

	It("finishes a transfer whose stall ends in time", func() {
		source := weightSource(platform.WeightOptions{BaseURL: serve(server), StallTimeout: longWait})
		server.FailNext(standin.FaultStall, 1)
		done, cancel := inBackground(func(ctx context.Context) error {
			data, err := source.Chunk(ctx, made.Version.Manifest, chunk)
			if err != nil {
				return err
			}
			return chunk.Verify(data)
		})
		defer cancel()
		Eventually(server.Stalled).Should(Equal(1))
		server.ReleaseStalled()
		Eventually(done).Should(Receive(BeNil()))
	})

	// The caller gets the chunk although the whole takes several stall
	// timeouts. The source is slow but brings bytes all the time; giving it up
	// would fetch the same bytes again and again from a busy link.
	It("lets a slow transfer go on that keeps moving", func(ctx SpecContext) {
		small := model(30_000, 30_000)
		slow := holding(standin.WeightOptions{}, small)
		slow.SetTransferRate(25_000)
		source := weightSource(platform.WeightOptions{BaseURL: serve(slow), StallTimeout: 4 * shortStall})
		Expect(source.Chunk(ctx, small.Version.Manifest, small.Manifest.Chunks[0])).To(Equal(small.Chunks[0]))
	})

	It("says how long to pause when the store limits requests", func(ctx SpecContext) {
		var elapsed atomic.Int64
		now := func() time.Time { return time.Unix(0, elapsed.Load()) }
		store := holding(standin.WeightOptions{RequestsPerSecond: 0.25, Now: now}, made)
		source := weightSource(platform.WeightOptions{BaseURL: serve(store)})
		_, err := source.Chunk(ctx, made.Version.Manifest, chunk)
		Expect(err).NotTo(HaveOccurred())
		_, err = source.Chunk(ctx, made.Version.Manifest, chunk)
		Expect(err).To(beOfType(failure.RateLimited))
		pause := failure.RetryAfter(err)
		Expect(pause).To(BeNumerically(">", 0))
		elapsed.Add(int64(pause))
		_, err = source.Chunk(ctx, made.Version.Manifest, chunk)
		Expect(err).NotTo(HaveOccurred())
	})

	It("fails as NotFound for what the source does not hold", func(ctx SpecContext) {
		source := weightSource(platform.WeightOptions{BaseURL: serve(server)})
		_, err := source.Manifest(ctx, fleet.DigestOf([]byte("other")))
		Expect(err).To(beOfType(failure.NotFound))
		_, err = source.Chunk(ctx, made.Version.Manifest, weights.Chunk{Index: 99, Bytes: 1})
		Expect(err).To(beOfType(failure.NotFound))
	})

	DescribeTable("a chunk whose size is refused before any call",
		func(ctx SpecContext, size int) {
			source := weightSource(platform.WeightOptions{BaseURL: serve(server)})
			_, err := source.Chunk(ctx, made.Version.Manifest, weights.Chunk{Bytes: size})
			Expect(err).To(beOfType(failure.Invalid))
			Expect(server.Requests()).To(BeZero())
		},
		Entry("negative", -1),
		Entry("zero", 0),
		Entry("beyond the bound", weights.MaxChunkBytes+1),
	)

	// The caller sees Corrupt and the process keeps its memory. The sender
	// announces no length and never stops; the manifest alone says how much is
	// read.
	DescribeTable("a body without a length",
		func(ctx SpecContext, sent int, want *errorx.Type) {
			source := weightSource(platform.WeightOptions{BaseURL: serve(unsized(sent))})
			_, err := source.Chunk(ctx, made.Version.Manifest, weights.Chunk{Bytes: 100_000})
			Expect(err).To(beOfType(want))
		},
		Entry("that is too short", 99_999, failure.Corrupt),
		Entry("that is too long", 100_001, failure.Corrupt),
		Entry("that never ends", endless, failure.Corrupt),
	)

	// Guards against a source that is avoided for a chunk since its connection ended.
	It("takes a short body whose end is that of the connection for a cut one", func(ctx SpecContext) {
		source := weightSource(platform.WeightOptions{BaseURL: serve(unmarked("half"))})
		_, err := source.Chunk(ctx, made.Version.Manifest, weights.Chunk{Bytes: 100_000})
		Expect(err).To(beOfType(failure.Unavailable))
	})

	It("takes a body without a length that has the right size", func(ctx SpecContext) {
		source := weightSource(platform.WeightOptions{BaseURL: serve(unsized(100_000))})
		Expect(source.Chunk(ctx, made.Version.Manifest, weights.Chunk{Bytes: 100_000})).To(HaveLen(100_000))
	})

	Describe("with a limiter", func() {
		It("asks for each byte once, in pieces", func(ctx SpecContext) {
			limiter := &recordingLimiter{}
			source := weightSource(platform.WeightOptions{BaseURL: serve(server), Limiter: limiter})
			Expect(source.Chunk(ctx, made.Version.Manifest, chunk)).To(HaveLen(chunk.Bytes))
			sum := 0
			for _, n := range limiter.asked {
				Expect(n).To(BeNumerically("<=", platform.LimiterPieceBytes))
				sum += n
			}
			Expect(sum).To(Equal(chunk.Bytes))
		})

		// The caller gets the chunk. Its own limiter holds the second piece back
		// for three stall timeouts because live requests go first; the link has
		// done nothing wrong, and a Timeout would blame the source for it.
		It("does not take its own pause for a stall", func(ctx SpecContext) {
			const stall = 4 * shortStall
			const pause = 3 * stall
			limiter := rate.NewLimiter(rate.Limit(platform.LimiterPieceBytes/pause.Seconds()), platform.LimiterPieceBytes)
			small := model(2*platform.LimiterPieceBytes, 2*platform.LimiterPieceBytes)
			source := weightSource(platform.WeightOptions{
				BaseURL:      serve(holding(standin.WeightOptions{}, small)),
				StallTimeout: stall,
				Limiter:      limiter,
			})
			Expect(source.Chunk(ctx, small.Version.Manifest, small.Manifest.Chunks[0])).To(Equal(small.Chunks[0]))
		})

		It("stops waiting when its caller gives up", func() {
			limiter := rate.NewLimiter(rate.Every(longWait), platform.LimiterPieceBytes)
			source := weightSource(platform.WeightOptions{BaseURL: serve(server), Limiter: limiter})
			done, cancel := inBackground(func(ctx context.Context) error {
				_, err := source.Chunk(ctx, made.Version.Manifest, chunk)
				return err
			})
			Eventually(limiter.Tokens).Should(BeNumerically("<", 1))
			cancel()
			Eventually(done).Should(Receive(beOfType(platform.Canceled)))
		})

		It("fails as Internal when the limiter can never let a piece through", func(ctx SpecContext) {
			limiter := rate.NewLimiter(1, platform.LimiterPieceBytes-1)
			source := weightSource(platform.WeightOptions{BaseURL: serve(server), Limiter: limiter})
			_, err := source.Chunk(ctx, made.Version.Manifest, chunk)
			Expect(err).To(beOfType(failure.Internal))
		})
	})
})

// endless makes unsized send until its client leaves.
const endless = -1

// unsized returns a handler that sends a body without a Content-Length.
func unsized(size int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		piece := make([]byte, 1000)
		for sent := 0; size == endless || sent < size; sent += len(piece) {
			if size != endless {
				piece = piece[:min(len(piece), size-sent)]
			}
			if _, err := w.Write(piece); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	})
}
