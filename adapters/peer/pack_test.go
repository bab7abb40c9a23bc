package peer_test

import (
	"bytes"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
)

var _ = Describe("Packed messages", func() {
	type message struct{ Names []string }
	const maxBytes = 1 << 20

	It("are decoded to the original value", func() {
		packed, err := peer.Pack(message{Names: []string{"a", "b"}})
		Expect(err).NotTo(HaveOccurred())
		var decoded message
		Expect(peer.Unpack(packed, &decoded, maxBytes)).To(Succeed())
		Expect(decoded.Names).To(Equal([]string{"a", "b"}))
	})

	// Guards against a faulty peer whose message of a few kilobytes
	// decompresses to more than a process can hold.
	It("are refused if their uncompressed size exceeds the limit", func() {
		packed, err := peer.Pack(message{Names: []string{string(bytes.Repeat([]byte("a"), 2*maxBytes))}})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(packed)).To(BeNumerically("<", maxBytes/100))
		var decoded message
		Expect(errorx.IsOfType(peer.Unpack(packed, &decoded, maxBytes), peer.TooLarge)).To(BeTrue())
	})

	It("are refused if they are truncated or malformed", func() {
		packed, err := peer.Pack(message{Names: []string{"a"}})
		Expect(err).NotTo(HaveOccurred())
		var decoded message
		Expect(errorx.IsOfType(peer.Unpack(packed[:len(packed)-3], &decoded, maxBytes), failure.Corrupt)).To(BeTrue())
		Expect(errorx.IsOfType(peer.Unpack([]byte("hello"), &decoded, maxBytes), failure.Corrupt)).To(BeTrue())
	})
})
