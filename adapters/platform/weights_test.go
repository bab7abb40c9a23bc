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

// recordingLimiter records the requested numbers of bytes and never waits.
type recordingLimiter struct {
	mu        sync.Mutex
	requested []int
}

func (l *recordingLimiter) WaitN(_ context.Context, n int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requested = append(l.requested, n)
	return nil
}

var _ = Describe("WeightSource", func() {
	const modelBytes = 500_000
	var fixture standin.Model
	var server *standin.WeightServer
	var chunk weights.Chunk

	BeforeEach(func() {
		fixture = model(modelBytes, 200_000)
		server = serverWith(standin.WeightOptions{}, fixture)
		chunk = fixture.Manifest.Chunks[1]
	})

	It("transfers a complete version", func(ctx SpecContext) {
		var source weights.Source = weightSource(platform.WeightOptions{BaseURL: serve(server)})
		raw, err := source.Manifest(ctx, fixture.Version.Manifest)
		Expect(err).NotTo(HaveOccurred())
		manifest, err := weights.Decode(raw, fixture.Version.Manifest)
		Expect(err).NotTo(HaveOccurred())
		Expect(manifest).To(Equal(fixture.Manifest))
		for _, chunk := range manifest.Chunks {
			data, err := source.Chunk(ctx, fixture.Version.Manifest, chunk)
			Expect(err).NotTo(HaveOccurred())
			Expect(chunk.Verify(data)).To(Succeed())
		}
		Expect(server.BytesSent()).To(BeEquivalentTo(modelBytes + len(raw)))
		Expect(server.ManifestBytesSent(fixture.Version.Manifest)).To(Equal(server.BytesSent()))
		Expect(server.Requests()).To(BeEquivalentTo(1 + len(manifest.Chunks)))
	})

	DescribeTable("a transfer that fails, and the next that succeeds",
		func(ctx SpecContext, fault standin.Fault, stall time.Duration, want *errorx.Type) {
			url := serve(server)
			source := weightSource(platform.WeightOptions{BaseURL: url, StallTimeout: stall})
			server.FailNext(fault, 1)
			data, err := source.Chunk(ctx, fixture.Version.Manifest, chunk)
			Expect(err).To(beOfType(want))
			// The bytes that arrived count as fetched from the source; they are
			// never the complete chunk.
			Expect(len(data)).To(BeNumerically("<", chunk.Bytes))
			Expect(bytes.HasPrefix(fixture.Chunks[chunk.Index], data)).To(BeTrue())

			source = weightSource(platform.WeightOptions{BaseURL: url, StallTimeout: longWait})
			data, err = source.Chunk(ctx, fixture.Version.Manifest, chunk)
			Expect(err).NotTo(HaveOccurred())
			Expect(chunk.Verify(data)).To(Succeed())
		},
		Entry("one byte too short", standin.FaultTruncate, longWait, failure.Corrupt),
		Entry("one byte too long", standin.FaultExtend, longWait, failure.Corrupt),
		Entry("aborted in the middle", standin.FaultAbort, longWait, failure.Unavailable),
		Entry("stalled in the middle", standin.FaultStall, shortStall, failure.Timeout),
	)

	// One bit has flipped in transit, which only the digest pinned by the
	// operator's configuration can show. Chunk must return the bytes without an
	// error, and the caller's check of the digest rejects them.
	It("leaves the check of the digest to its caller", func(ctx SpecContext) {
		source := weightSource(platform.WeightOptions{BaseURL: serve(server)})
		server.FailAlways(fixture.Version.Manifest, chunk.Index, standin.FaultCorrupt)
		for range 2 {
			data, err := source.Chunk(ctx, fixture.Version.Manifest, chunk)
			Expect(err).NotTo(HaveOccurred())
			Expect(chunk.Verify(data)).To(beOfType(failure.Corrupt))
		}
		server.ClearFaults()
		Expect(source.Chunk(ctx, fixture.Version.Manifest, chunk)).To(Equal(fixture.Chunks[chunk.Index]))
	})

	// The source sends half of the chunk and then nothing, and the connection stays
	// open because a stalled link does not close it. Chunk must fail with Timeout
	// long before the caller's deadline, and the client must close the connection
	// to the server.
	It("aborts a transfer that stalls and disconnects from the server", func() {
		source := weightSource(platform.WeightOptions{BaseURL: serve(server), StallTimeout: shortStall})
		server.FailNext(standin.FaultStall, 1)
		_, err := source.Chunk(context.Background(), fixture.Version.Manifest, chunk)
		Expect(err).To(beOfType(failure.Timeout))
		Expect(err).To(MatchError(ContainSubstring("brought no byte for 100ms")))
		Eventually(server.Stalled).Should(BeZero())
		Eventually(server.Transfers).Should(BeZero())
	})

	It("aborts a manifest transfer that stalls", func(ctx SpecContext) {
		source := weightSource(platform.WeightOptions{BaseURL: serve(server), StallTimeout: shortStall})
		server.FailAlways(fixture.Version.Manifest, standin.ManifestIndex, standin.FaultStall)
		_, err := source.Manifest(ctx, fixture.Version.Manifest)
		Expect(err).To(beOfType(failure.Timeout))
	})

	It("finishes a transfer whose stall ends in time", func() {
		source := weightSource(platform.WeightOptions{BaseURL: serve(server), StallTimeout: longWait})
		server.FailNext(standin.FaultStall, 1)
		done, cancel := inBackground(func(ctx context.Context) error {
			data, err := source.Chunk(ctx, fixture.Version.Manifest, chunk)
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

	// The source is slow but sends bytes all the time, and the transfer takes
	// several stall timeouts. Chunk must succeed; aborting it would fetch the same
	// bytes again and again over a busy link.
	It("completes a slow transfer that makes progress", func(ctx SpecContext) {
		small := model(30_000, 30_000)
		slow := serverWith(standin.WeightOptions{}, small)
		slow.SetTransferRate(25_000)
		source := weightSource(platform.WeightOptions{BaseURL: serve(slow), StallTimeout: 4 * shortStall})
		Expect(source.Chunk(ctx, small.Version.Manifest, small.Manifest.Chunks[0])).To(Equal(small.Chunks[0]))
	})

	It("returns the retry delay when the store limits requests", func(ctx SpecContext) {
		var elapsed atomic.Int64
		now := func() time.Time { return time.Unix(0, elapsed.Load()) }
		store := serverWith(standin.WeightOptions{RequestsPerSecond: 0.25, Now: now}, fixture)
		source := weightSource(platform.WeightOptions{BaseURL: serve(store)})
		_, err := source.Chunk(ctx, fixture.Version.Manifest, chunk)
		Expect(err).NotTo(HaveOccurred())
		_, err = source.Chunk(ctx, fixture.Version.Manifest, chunk)
		Expect(err).To(beOfType(failure.RateLimited))
		pause := failure.RetryAfter(err)
		Expect(pause).To(BeNumerically(">", 0))
		elapsed.Add(int64(pause))
		_, err = source.Chunk(ctx, fixture.Version.Manifest, chunk)
		Expect(err).NotTo(HaveOccurred())
	})

	It("fails as NotFound for what the source does not have", func(ctx SpecContext) {
		source := weightSource(platform.WeightOptions{BaseURL: serve(server)})
		_, err := source.Manifest(ctx, fleet.DigestOf([]byte("other")))
		Expect(err).To(beOfType(failure.NotFound))
		_, err = source.Chunk(ctx, fixture.Version.Manifest, weights.Chunk{Index: 99, Bytes: 1})
		Expect(err).To(beOfType(failure.NotFound))
	})

	DescribeTable("a chunk whose size is rejected before any call",
		func(ctx SpecContext, size int) {
			source := weightSource(platform.WeightOptions{BaseURL: serve(server)})
			_, err := source.Chunk(ctx, fixture.Version.Manifest, weights.Chunk{Bytes: size})
			Expect(err).To(beOfType(failure.Invalid))
			Expect(server.Requests()).To(BeZero())
		},
		Entry("negative", -1),
		Entry("zero", 0),
		Entry("beyond the maximum", weights.MaxChunkBytes+1),
	)

	// The sender announces no length and never stops. Chunk must fail with Corrupt
	// and bounded memory: only the manifest limits how much is read.
	DescribeTable("a body without a length",
		func(ctx SpecContext, sent int, want *errorx.Type) {
			source := weightSource(platform.WeightOptions{BaseURL: serve(unsized(sent))})
			_, err := source.Chunk(ctx, fixture.Version.Manifest, weights.Chunk{Bytes: 100_000})
			Expect(err).To(beOfType(want))
		},
		Entry("that is too short", 99_999, failure.Corrupt),
		Entry("that is too long", 100_001, failure.Corrupt),
		Entry("that never ends", endless, failure.Corrupt),
	)

	// Guards against a source that is avoided for a chunk because its connection
	// ended.
	It("treats a short body without a marked end as truncated by the connection", func(ctx SpecContext) {
		source := weightSource(platform.WeightOptions{BaseURL: serve(unframed("half"))})
		_, err := source.Chunk(ctx, fixture.Version.Manifest, weights.Chunk{Bytes: 100_000})
		Expect(err).To(beOfType(failure.Unavailable))
	})

	It("accepts a body without a length that has the right size", func(ctx SpecContext) {
		source := weightSource(platform.WeightOptions{BaseURL: serve(unsized(100_000))})
		Expect(source.Chunk(ctx, fixture.Version.Manifest, weights.Chunk{Bytes: 100_000})).To(HaveLen(100_000))
	})

	Describe("with a limiter", func() {
		It("requests each byte once, in pieces", func(ctx SpecContext) {
			limiter := &recordingLimiter{}
			source := weightSource(platform.WeightOptions{BaseURL: serve(server), Limiter: limiter})
			Expect(source.Chunk(ctx, fixture.Version.Manifest, chunk)).To(HaveLen(chunk.Bytes))
			sum := 0
			for _, n := range limiter.requested {
				Expect(n).To(BeNumerically("<=", platform.LimiterPieceBytes))
				sum += n
			}
			Expect(sum).To(Equal(chunk.Bytes))
		})

		// The process's own limiter delays the second piece for three stall
		// timeouts because live requests take precedence. Chunk must succeed; a
		// Timeout would blame the source although the link is healthy.
		It("does not take the limiter's delay for a stall", func(ctx SpecContext) {
			const stall = 4 * shortStall
			const pause = 3 * stall
			limiter := rate.NewLimiter(rate.Limit(platform.LimiterPieceBytes/pause.Seconds()), platform.LimiterPieceBytes)
			small := model(2*platform.LimiterPieceBytes, 2*platform.LimiterPieceBytes)
			source := weightSource(platform.WeightOptions{
				BaseURL:      serve(serverWith(standin.WeightOptions{}, small)),
				StallTimeout: stall,
				Limiter:      limiter,
			})
			Expect(source.Chunk(ctx, small.Version.Manifest, small.Manifest.Chunks[0])).To(Equal(small.Chunks[0]))
		})

		It("stops waiting when its caller cancels", func() {
			limiter := rate.NewLimiter(rate.Every(longWait), platform.LimiterPieceBytes)
			source := weightSource(platform.WeightOptions{BaseURL: serve(server), Limiter: limiter})
			done, cancel := inBackground(func(ctx context.Context) error {
				_, err := source.Chunk(ctx, fixture.Version.Manifest, chunk)
				return err
			})
			Eventually(limiter.Tokens).Should(BeNumerically("<", 1))
			cancel()
			Eventually(done).Should(Receive(beOfType(platform.Canceled)))
		})

		It("fails as Internal when the limiter can never allow a piece", func(ctx SpecContext) {
			limiter := rate.NewLimiter(1, platform.LimiterPieceBytes-1)
			source := weightSource(platform.WeightOptions{BaseURL: serve(server), Limiter: limiter})
			_, err := source.Chunk(ctx, fixture.Version.Manifest, chunk)
			Expect(err).To(beOfType(failure.Internal))
		})
	})
})

// endless makes unsized send until its client disconnects.
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
