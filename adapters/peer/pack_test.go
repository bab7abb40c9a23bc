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
	const most = 1 << 20

	It("come back as they were", func() {
		packed, err := peer.Pack(message{Names: []string{"a", "b"}})
		Expect(err).NotTo(HaveOccurred())
		var back message
		Expect(peer.Unpack(packed, &back, most)).To(Succeed())
		Expect(back.Names).To(Equal([]string{"a", "b"}))
	})

	// A peer that is faulty sends a few kilobytes that stand for far more than a
	// process may hold.
	It("are refused where they stand for more than is allowed", func() {
		packed, err := peer.Pack(message{Names: []string{string(bytes.Repeat([]byte("a"), 2*most))}})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(packed)).To(BeNumerically("<", most/100))
		var back message
		Expect(errorx.IsOfType(peer.Unpack(packed, &back, most), peer.TooLarge)).To(BeTrue())
	})

	It("are refused where they are cut or no such message", func() {
		packed, err := peer.Pack(message{Names: []string{"a"}})
		Expect(err).NotTo(HaveOccurred())
		var back message
		Expect(errorx.IsOfType(peer.Unpack(packed[:len(packed)-3], &back, most), failure.Corrupt)).To(BeTrue())
		Expect(errorx.IsOfType(peer.Unpack([]byte("hello"), &back, most), failure.Corrupt)).To(BeTrue())
	})
})
