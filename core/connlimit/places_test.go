package connlimit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/connlimit"
)

var _ = Describe("With clients that hold their places", func() {
	// Guards against refusals that are not read and hold places which no newcomer gets.
	It("a refused request whose client accepts nothing of the refusal is evicted", func() {
		table := connlimit.New(connlimit.Limits{Connections: 2, Requests: 1})
		served, refused := open(table, start), open(table, start)
		Expect(served.BeginRequest(start)).To(BeTrue())
		Expect(refused.BeginRequest(start)).To(BeFalse())
		refused.BeginWrite(start)
		Expect(open(table, start.Add(5*time.Second))).NotTo(BeNil())
		Expect(refused.evicted).To(Equal(connlimit.Stalled))
		Expect(served.evicted).To(BeEmpty())
	})

	// Guards against a few requests with large heads that lock out all others with more than the allowance.
	It("a few requests that are being served leave room for the head of another client", func() {
		limits := connlimit.OfProcess(112<<20, 2870).Share(0.75)
		table := connlimit.New(limits)
		// Heads of 16 KB at most, whose fields are as many as fit.
		for _, fields := range []int{4096, 512, 64} {
			for range 64 {
				c := open(table, start)
				if c.ReceiveHead(start, 16<<10, fields) {
					Expect(c.BeginRequest(start)).To(BeTrue())
				} else {
					c.Close()
				}
			}
		}
		ordinary := open(table, start.Add(time.Minute))
		Expect(ordinary.ReceiveHead(start.Add(time.Minute), 10<<10, 30)).To(BeTrue())
	})

	// Guards against clients that accept a little of their responses now and then and never make room.
	It("a newcomer gets a place within a minute though all others read slowly", func() {
		table := connlimit.New(connlimit.Limits{Connections: 16})
		var readers []*client
		for range 16 {
			c := open(table, start)
			Expect(c.BeginRequest(start)).To(BeTrue())
			readers = append(readers, c)
		}
		var newcomer *client
		for now := start; newcomer == nil && now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
			for _, c := range readers {
				c.EndWrite()
				c.BeginWrite(now)
			}
			newcomer = open(table, now)
		}
		Expect(newcomer).NotTo(BeNil())
	})
})
