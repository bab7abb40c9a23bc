package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/engine/backend"
)

// program is a running command.
type program struct {
	addr  string
	admin string
	done  chan error
	stop  context.CancelFunc
}

func start(ctx context.Context, args ...string) program {
	GinkgoHelper()
	ctx, stop := context.WithCancel(ctx)
	DeferCleanup(func() { stop() })
	out := gbytes.NewBuffer()
	command := newCommand(out)
	command.SetArgs(args)
	p := program{done: make(chan error, 1), stop: stop}
	go func() { p.done <- command.ExecuteContext(ctx) }()
	Eventually(out).WithContext(ctx).Should(gbytes.Say("event=listening .*\n"))
	for _, pair := range strings.Fields(string(out.Contents())) {
		key, value, _ := strings.Cut(pair, "=")
		switch key {
		case "addr":
			p.addr = value
		case "admin":
			p.admin = value
		}
	}
	return p
}

func call(ctx context.Context, method, url, body string) (int, string) {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Request-Id", "a1")
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(raw)
}

var _ = Describe("program backend", func() {
	It("runs an engine until it is stopped", func(ctx SpecContext) {
		p := start(ctx, "engine", "--slots", "3", "--check-fence")
		status, body := call(ctx, http.MethodGet, "http://"+p.addr+"/v1/status", "")
		Expect(status).To(Equal(200))
		Expect(body).To(ContainSubstring(`"slots":3`))

		order := "http://" + p.addr + "/v1/orders"
		status, _ = call(ctx, http.MethodPost, order, `{"fence":5,"role":"decode"}`)
		Expect(status).To(Equal(200))
		status, _ = call(ctx, http.MethodPost, order, `{"fence":4}`)
		Expect(status).To(Equal(409))
		status, _ = call(ctx, http.MethodPost, "http://"+p.admin+"/admin/faults", `{"ignore_fence":true}`)
		Expect(status).To(Equal(200))
		status, _ = call(ctx, http.MethodPost, order, `{"fence":4}`)
		Expect(status).To(Equal(200))

		_, body = call(ctx, http.MethodGet, "http://"+p.admin+"/admin/counters", "")
		var counters engine.Counters
		Expect(json.Unmarshal([]byte(body), &counters)).To(Succeed())
		Expect(counters.OrdersRefused).To(Equal(1))

		status, _ = call(ctx, http.MethodPost, "http://"+p.admin+"/admin/restart", "")
		Expect(status).To(Equal(204))
		_, body = call(ctx, http.MethodGet, "http://"+p.addr+"/v1/status", "")
		Expect(body).To(ContainSubstring(`"fence":0`))
		p.stop()
		Eventually(ctx, p.done).Should(Receive(BeNil()))
	})

	It("runs a plain service with faults", func(ctx SpecContext) {
		p := start(ctx, "plain")
		status, body := call(ctx, http.MethodPost, "http://"+p.addr+"/v1/call/parts", "x")
		Expect(status).To(Equal(200))
		Expect(body).To(ContainSubstring(`"path":"parts"`))
		status, _ = call(ctx, http.MethodPost, "http://"+p.admin+"/admin/faults", `{"wrong_id":1}`)
		Expect(status).To(Equal(200))
		_, body = call(ctx, http.MethodPost, "http://"+p.addr+"/v1/call/parts", "x")
		Expect(body).To(ContainSubstring(`"id":"a1-wrong"`))
		_, body = call(ctx, http.MethodGet, "http://"+p.admin+"/admin/counters", "")
		var counters struct {
			ExecutionsByID backend.Counts `json:"executions_by_id"`
		}
		Expect(json.Unmarshal([]byte(body), &counters)).To(Succeed())
		Expect(counters.ExecutionsByID).To(Equal(backend.Counts{"a1": 2}))
	})

	It("names a fault that it does not know", func(ctx SpecContext) {
		p := start(ctx, "plain")
		status, body := call(ctx, http.MethodPost, "http://"+p.admin+"/admin/faults", `{"stal":true}`)
		Expect(status).To(Equal(400))
		Expect(body).To(ContainSubstring(`unknown field \"stal\"`))
	})

	DescribeTable("refuses",
		func(ctx SpecContext, reason string, args ...string) {
			command := newCommand(io.Discard)
			command.SetErr(&bytes.Buffer{})
			command.SetArgs(args)
			Expect(command.ExecuteContext(ctx)).To(MatchError(ContainSubstring(reason)))
		},
		Entry("an address outside the loopback network", "outside 127.0.0.0/8", "engine", "--listen", "10.0.0.1:80"),
		Entry("the unspecified address", "outside 127.0.0.0/8", "plain", "--admin", "0.0.0.0:0"),
		Entry("a host name", `listen address "localhost:80"`, "plain", "--listen", "localhost:80"),
		Entry("an unexpected argument", "unknown command", "engine", "x"),
		Entry("a negative number of slots", "--slots must be at least 1, got -1", "engine", "--slots", "-1"),
	)
})
