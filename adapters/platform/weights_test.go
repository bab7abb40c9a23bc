package platform_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/platform"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/weights"
	standin "chivespindle.example/standin/platform"
)

var _ = Describe("WeightSource", func() {
	It("brings a version whole", func(ctx SpecContext) {
		made := model(100_000, 40_000)
		server := holding(standin.WeightOptions{}, made)
		source := weightSource(platform.WeightOptions{BaseURL: serve(server)})

		raw, err := source.Manifest(ctx, made.Version.Manifest)
		Expect(err).NotTo(HaveOccurred())
		manifest, err := weights.Decode(raw, made.Version.Manifest)
		Expect(err).NotTo(HaveOccurred())
		for _, chunk := range manifest.Chunks {
			data, err := source.Chunk(ctx, made.Version.Manifest, chunk)
			Expect(err).NotTo(HaveOccurred())
			Expect(chunk.Verify(data)).To(Succeed())
		}
		Expect(server.BytesSent()).To(BeEquivalentTo(100_000 + len(raw)))
		Expect(server.ManifestBytesSent(made.Version.Manifest)).To(Equal(server.BytesSent()))
	})

	// The caller sees Timeout well before its own deadline. The source sends
	// half of the chunk and then nothing, without closing the connection. Only
	// the progress deadline can tell this from a slow link.
	It("gives up a transfer that stalls", func(ctx SpecContext) {
		made := model(200_000, 200_000)
		server := holding(standin.WeightOptions{}, made)
		server.FailNext(standin.FaultStall, 1)
		source := weightSource(platform.WeightOptions{BaseURL: serve(server), StallTimeout: shortStall})

		_, err := source.Chunk(ctx, made.Version.Manifest, made.Manifest.Chunks[0])
		Expect(err).To(beOfType(failure.Timeout))
		Eventually(server.Stalled).Should(BeZero())
		Expect(source.Chunk(context.Background(), made.Version.Manifest, made.Manifest.Chunks[0])).To(Equal(made.Chunks[0]))
	})
})
