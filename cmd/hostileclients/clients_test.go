package hostileclients_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/standin/crowd"
)

const (
	// connections and reopened make crowds that are larger than every bound on connections
	// and that outlast a bound on the time of a single one.
	connections = 400
	reopened    = 3
)

// expectServed starts a crowd at a port and checks that one request is answered while it
// holds and one after it left.
func expectServed(at func(f *testFleet) port, c *crowd.Crowd) {
	GinkgoHelper()
	f := takeFleet()
	p := at(f)
	u := watch(p.process)
	c.Addr, c.Reopen = p.addr.String(), reopened
	if c.Connections == 0 {
		c.Connections = connections
	}
	Expect(c.Start()).To(Succeed())
	DeferCleanup(c.Stop)
	Eventually(c.Settled).Should(BeTrue())
	AddReportEntry("crowd", fmt.Sprintf("%+v", c.Counts()))
	Expect(c.Counts().Opened).To(BeNumerically(">=", c.Connections), "opened connections")
	Eventually(p.serve).Should(Succeed(), "while the crowd holds")
	u.sample() // the connections of the crowd were accepted before this request's
	c.Stop()
	Eventually(p.serve).Should(Succeed(), "after the crowd has left")
	u.expectWithinBounds()
}

func callers(f *testFleet) port          { return f.callers() }
func operatorsOfEntry(f *testFleet) port { return f.operators(f.entry) }
func operatorsOfAgent(f *testFleet) port { return f.operators(f.agent) }

// unfinishedHead returns the start of a request head of about size bytes with many short
// fields of different names.
func unfinishedHead(size int) string {
	var head strings.Builder
	head.WriteString("GET /v1/addresses HTTP/1.1\r\nHost: x\r\n")
	for n := 0; head.Len() < size; n++ {
		fmt.Fprintf(&head, "%x:\r\n", n)
	}
	return head.String()
}

// Guards against clients whose unfinished heads take the memory of the process or the
// connections of others.
var _ = DescribeTable("Heads that never end", func(at func(f *testFleet) port, size int) {
	head := unfinishedHead(size)
	expectServed(at, &crowd.Crowd{Speak: func(c *crowd.Conn) error { return c.Send(head) }})
},
	Entry("of callers", callers, 60<<10),
	Entry("of operators of an entry", operatorsOfEntry, 14<<10),
	Entry("of operators of an agent", operatorsOfAgent, 14<<10),
)

// Guards against clients that hold connections without a request.
var _ = DescribeTable("Connections that send nothing", func(at func(f *testFleet) port) {
	expectServed(at, &crowd.Crowd{})
},
	Entry("of callers", callers),
	Entry("of operators of an entry", operatorsOfEntry),
	Entry("of operators of an agent", operatorsOfAgent),
)

// Guards against clients that hold connections after a request.
var _ = DescribeTable("Connections that stay idle after a request", func(at func(f *testFleet) port, path string) {
	request := "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"
	expectServed(at, &crowd.Crowd{Speak: func(c *crowd.Conn) error {
		_, err := c.Exchange(request)
		return err
	}})
},
	Entry("of callers", callers, "/v1/addresses"),
	Entry("of operators of an entry", operatorsOfEntry, "/healthz"),
	Entry("of operators of an agent", operatorsOfAgent, "/healthz"),
)

// request returns a request to the plain service with a body of size bytes.
func request(size int) string {
	return fmt.Sprintf("POST /v1/services/%s/orders HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", workshop, size)
}

// Guards against clients whose unfinished bodies take the memory of the process.
var _ = It("Bodies that stall before their end leave memory for others", func() {
	expectServed(callers, &crowd.Crowd{Speak: func(c *crowd.Conn) error {
		if err := c.Send(request(maxBody)); err != nil {
			return err
		}
		return c.Repeat("x", maxBody*9/10)
	}})
})

// Guards against clients that hold the places of requests by not reading the responses.
var _ = It("Responses that nobody reads leave places for other requests", func() {
	const (
		clients  = 100 // more than requests may be in progress
		requests = 12  // more than the buffers of a connection hold responses
	)
	body := strings.Repeat("x", maxBody)
	expectServed(callers, &crowd.Crowd{Connections: clients, ReadsNothing: true, ReceiveBuffer: 4 << 10, Speak: func(c *crowd.Conn) error {
		for range requests {
			if err := c.Send(request(maxBody) + body); err != nil {
				return err
			}
		}
		return nil
	}})
})
