package connlimit_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/connlimit"
)

var start = time.Unix(1_800_000_000, 0)

// client is a connection and why it was evicted.
type client struct {
	*connlimit.Conn
	evicted connlimit.Cause
}

func open(t *connlimit.Table, now time.Time) *client {
	c := &client{}
	if c.Conn = t.Open(now, func(cause connlimit.Cause) { c.evicted = cause }); c.Conn == nil {
		return nil
	}
	return c
}

// openIdle opens a connection that has carried a request.
func openIdle(t *connlimit.Table, now time.Time) *client {
	c := open(t, now)
	Expect(c.BeginRequest(now)).To(BeTrue())
	c.EndRequest(now)
	return c
}

var _ = Describe("At the bound on connections", func() {
	const connections = 8
	var table *connlimit.Table

	BeforeEach(func() { table = connlimit.New(connlimit.Limits{Connections: connections, Requests: 6}) })

	// Guards against clients that lock out others by holding connections without a request.
	It("the oldest unfinished request is evicted, before connections that may be used again", func() {
		reusable := openIdle(table, start)
		var unfinished []*client
		for range connections - 1 {
			unfinished = append(unfinished, open(table, start))
		}
		Expect(open(table, start.Add(time.Second))).NotTo(BeNil())
		Expect(unfinished[0].evicted).To(Equal(connlimit.Unfinished))
		Expect(unfinished[1].evicted).To(BeEmpty())
		Expect(reusable.evicted).To(BeEmpty())
	})

	// Guards against the close of a connection whose client has just opened it, for one that is idle.
	It("the connection that is idle for longest is evicted before a few new ones", func() {
		first, second := openIdle(table, start), openIdle(table, start)
		for range connections - 4 {
			openIdle(table, start)
		}
		recent := []*client{open(table, start), open(table, start)}
		Expect(open(table, start)).NotTo(BeNil())
		Expect(first.evicted).To(Equal(connlimit.Idle))
		Expect(second.evicted).To(BeEmpty())
		for _, c := range recent {
			Expect(c.evicted).To(BeEmpty())
		}
	})

	// Guards against a request that is lost for a newcomer.
	It("no request that is being served is evicted unless its client accepts nothing", func() {
		limits := connlimit.New(connlimit.Limits{Connections: 2})
		served, stalled := open(limits, start), open(limits, start)
		for _, c := range []*client{served, stalled} {
			Expect(c.BeginRequest(start)).To(BeTrue())
		}
		Expect(open(limits, start.Add(time.Hour))).To(BeNil())
		stalled.BeginWrite(start)
		Expect(open(limits, start.Add(time.Second))).To(BeNil())
		Expect(open(limits, start.Add(time.Hour))).NotTo(BeNil())
		Expect(stalled.evicted).To(Equal(connlimit.Stalled))
		Expect(served.evicted).To(BeEmpty())
	})

	// Guards against a request that is run though its client's connection was closed for another.
	It("the request of an evicted connection is not accepted", func() {
		limits := connlimit.New(connlimit.Limits{Connections: 1})
		c := open(limits, start)
		open(limits, start)
		Expect(c.BeginRequest(start)).To(BeFalse())
	})
})

var _ = Describe("At the bound on requests", func() {
	// Guards against requests without a bound that wait at servers.
	It("a request is refused until another one ends", func() {
		table := connlimit.New(connlimit.Limits{Connections: 4, Requests: 1})
		first, second := open(table, start), open(table, start)
		Expect(first.BeginRequest(start)).To(BeTrue())
		Expect(second.BeginRequest(start)).To(BeFalse())
		second.EndRequest(start)
		first.EndRequest(start)
		Expect(second.BeginRequest(start)).To(BeTrue())
	})

	// Guards against clients that read no response and so lock out the requests of others.
	It("a request whose client accepts nothing of the response is evicted", func() {
		table := connlimit.New(connlimit.Limits{Connections: 4, Requests: 1})
		stalled, other := open(table, start), open(table, start)
		Expect(stalled.BeginRequest(start)).To(BeTrue())
		stalled.BeginWrite(start)
		Expect(other.BeginRequest(start.Add(time.Hour))).To(BeTrue())
		Expect(stalled.evicted).To(Equal(connlimit.Stalled))
	})
})

var _ = Describe("At the bound on the memory of heads", func() {
	const headBytes = 100 << 10
	var table *connlimit.Table

	BeforeEach(func() { table = connlimit.New(connlimit.Limits{Connections: 100, HeadBytes: headBytes}) })

	// Guards against many heads of a size that is allowed for one, which take more than the process has.
	It("the oldest large unfinished head is evicted", func() {
		small, oldest, next := open(table, start), open(table, start), open(table, start)
		Expect(small.ReceiveHead(start, 500, 12)).To(BeTrue())
		Expect(oldest.ReceiveHead(start, 40<<10, 10)).To(BeTrue())
		Expect(next.ReceiveHead(start, 30<<10, 10)).To(BeTrue())
		newest := open(table, start)
		Expect(newest.ReceiveHead(start, 40<<10, 10)).To(BeTrue())
		Expect(oldest.evicted).To(Equal(connlimit.HeadMemory))
		Expect(next.evicted).To(BeEmpty())
		Expect(small.evicted).To(BeEmpty())
	})

	// Guards against heads of many short fields, which take several times their bytes.
	It("fields are counted besides bytes", func() {
		c := open(table, start)
		Expect(c.ReceiveHead(start, 16<<10, 250)).To(BeTrue())
		Expect(c.ReceiveHead(start, 0, 500)).To(BeFalse())
	})

	// Guards against a single request inside the operator's limits that is refused in calm.
	It("a head without other large ones may take all of it", func() {
		c, other := open(table, start), open(table, start)
		Expect(other.ReceiveHead(start, 4<<10, 20)).To(BeTrue())
		Expect(c.ReceiveHead(start, 16<<10, 720)).To(BeTrue())
		Expect(c.BeginRequest(start)).To(BeTrue())
		Expect(other.ReceiveHead(start, 8<<10, 0)).To(BeFalse())
	})

	// Guards against ordinary requests that are refused while large ones run.
	It("small heads are received while large ones are being served", func() {
		large := open(table, start)
		Expect(large.ReceiveHead(start, headBytes/2, 0)).To(BeTrue())
		Expect(large.BeginRequest(start)).To(BeTrue())
		other, small := open(table, start), open(table, start)
		Expect(other.ReceiveHead(start, headBytes/2, 0)).To(BeFalse())
		Expect(small.ReceiveHead(start, 4<<10, 20)).To(BeTrue())
		Expect(large.evicted).To(BeEmpty())
	})
})

var _ = Describe("The usage of a table", func() {
	// Guards against places that remain taken after their connections have ended.
	It("is zero after all connections have ended in any order of events", func() {
		const rounds = 20000
		rng := rand.New(rand.NewPCG(1, 2))
		table := connlimit.New(connlimit.Limits{Connections: 20, Requests: 5, HeadBytes: 64 << 10})
		now := start
		var clients []*client
		for range rounds {
			now = now.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
			if c := open(table, now); c != nil && rng.IntN(3) == 0 {
				clients = append(clients, c)
			} else if c != nil {
				c.Close()
			}
			for _, c := range clients {
				switch rng.IntN(6) {
				case 0:
					c.ReceiveHead(now, rng.IntN(20<<10), rng.IntN(200))
				case 1:
					c.BeginRequest(now)
				case 2:
					c.BeginWrite(now)
				case 3:
					c.EndWrite()
				case 4:
					c.EndRequest(now)
				}
			}
			usage := table.Usage()
			Expect(usage.Connections).To(BeNumerically("<=", 20))
			Expect(usage.Requests).To(BeNumerically("<=", 5))
			if len(clients) > 40 {
				clients[0].Close()
				clients = clients[1:]
			}
		}
		for _, c := range clients {
			c.Close()
			c.Close()
		}
		Expect(table.Usage()).To(BeZero())
	})
})

var _ = DescribeTable("The limits of a process", func(memory int64, descriptors int, want connlimit.Limits) {
	Expect(connlimit.OfProcess(memory, descriptors)).To(Equal(want))
},
	Entry("follow from its memory", int64(112<<20), 4100, connlimit.Limits{Connections: 448, Requests: 336, HeadBytes: 5872025}),
	Entry("follow from its descriptors", int64(1<<30), 500, connlimit.Limits{Connections: 180, Requests: 135, HeadBytes: 53687091}),
	Entry("are none without settings", int64(0), 0, connlimit.Limits{}),
	Entry("allow a connection in any case", int64(1), 201, connlimit.Limits{Connections: 1, Requests: 1}),
)
