package weights_test

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/weights"
)

const testModel = "fault-reader"

func beCorrupt() gomega.OmegaMatcher {
	return gomega.WithTransform(func(err error) bool { return errorx.IsOfType(err, failure.Corrupt) }, gomega.BeTrue())
}

var _ = ginkgo.Describe("Manifest", func() {
	blob := []byte("the bytes of a model version")
	manifest := weights.Split(testModel, blob, 10)

	ginkgo.It("covers every byte once and in order", func() {
		gomega.Expect(manifest.TotalBytes()).To(gomega.BeEquivalentTo(len(blob)))
		at := 0
		for i, chunk := range manifest.Chunks {
			gomega.Expect(chunk.Index).To(gomega.Equal(i))
			gomega.Expect(chunk.Verify(blob[at : at+chunk.Bytes])).To(gomega.Succeed())
			at += chunk.Bytes
		}
		gomega.Expect(at).To(gomega.Equal(len(blob)))
	})

	ginkgo.It("decodes to the encoded manifest, with the digest of its encoding", func() {
		raw, digest, err := manifest.Encode()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(digest).To(gomega.Equal(fleet.DigestOf(raw)))
		gomega.Expect(weights.Decode(raw, digest)).To(gomega.Equal(manifest))
	})

	// The origin or a peer sends a manifest that differs from the pinned one by a
	// single bit. It is rejected as a whole, so none of its chunks is fetched.
	ginkgo.It("is rejected unless it has the pinned digest", func() {
		raw, digest, err := manifest.Encode()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for i := range raw {
			changed := append([]byte(nil), raw...)
			changed[i] ^= 1
			_, err := weights.Decode(changed, digest)
			gomega.Expect(err).To(beCorrupt(), "bit 0 of byte %d", i)
		}
	})

	// A chunk arrives truncated, too long or with a changed bit. It is rejected, so an
	// engine never receives it.
	ginkgo.DescribeTable("rejects chunk data that is", func(data string) {
		gomega.Expect(manifest.Chunks[0].Verify([]byte(data))).To(beCorrupt())
	},
		ginkgo.Entry("too short", "the bytes"),
		ginkgo.Entry("too long", "the bytes of"),
		ginkgo.Entry("changed", "the bytes\x00"),
		ginkgo.Entry("changed in one letter", "The bytes "),
		ginkgo.Entry("empty", ""),
	)

	// The pinned manifest itself is invalid, because a faulty tool created it.
	ginkgo.DescribeTable("is rejected despite a matching digest if it has", func(wrong any, text string) {
		raw, err := cbor.Marshal(wrong)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = weights.Decode(raw, fleet.DigestOf(raw))
		gomega.Expect(err).To(beCorrupt())
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(text)))
	},
		ginkgo.Entry("no chunks", weights.Manifest{}, "has 0 chunks, want 1 to 131072"),
		ginkgo.Entry("an index out of order", chunks(weights.Chunk{Index: 1, Bytes: 1}), "chunk 0 of the manifest has index 1"),
		ginkgo.Entry("an empty chunk", chunks(weights.Chunk{}), "has 0 bytes"),
		ginkgo.Entry("a negative size", chunks(weights.Chunk{Bytes: -1}), "has -1 bytes"),
		ginkgo.Entry("a chunk that is too large", chunks(weights.Chunk{Bytes: weights.MaxChunkBytes + 1}), "has 67108865 bytes"),
		ginkgo.Entry("another type", "text", "decode manifest"),
	)
})

func chunks(c ...weights.Chunk) weights.Manifest {
	return weights.Manifest{Model: testModel, Chunks: c}
}

// FuzzDecode passes Decode bytes with a matching digest, so that the codec and the
// checks after the digest are reached.
func FuzzDecode(f *testing.F) {
	raw, _, _ := weights.Split(testModel, []byte("the bytes of a model version"), 10).Encode()
	f.Add(raw)
	f.Add(raw[:len(raw)-1])
	f.Add([]byte{0xa2, 0x01, 0x60, 0x02, 0x9f, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := weights.Decode(raw, fleet.DigestOf(raw))
		if err != nil {
			if !errorx.IsOfType(err, failure.Corrupt) {
				t.Fatalf("%v is not failure.Corrupt", err)
			}
			return
		}
		if m.TotalBytes() < int64(len(m.Chunks)) {
			t.Fatalf("%d chunks with %d bytes in total", len(m.Chunks), m.TotalBytes())
		}
		again, digest, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		back, err := weights.Decode(again, digest)
		if err != nil || !reflect.DeepEqual(back, m) {
			t.Fatalf("%v decodes as %v, %v", m, back, err)
		}
	})
}
