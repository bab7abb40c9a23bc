package platform_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/platform"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	standin "chivespindle.example/standin/platform"
)

var _ = Describe("InstanceList", func() {
	It("returns every field of every instance, ordered by id", func(ctx SpecContext) {
		service := standin.NewInstanceList(standin.InstanceListOptions{})
		entry := entryInstance("entry-1")
		agent := entryInstance("agent-1")
		agent.Role = fleet.RoleAgent
		agent.Service = "spindle-pool"
		agent.CallerAddr = entryInstance("").CallerAddr
		agent.Leaving = true
		service.Set(entry)
		service.Set(agent)
		list := instanceList(platform.InstanceListOptions{BaseURL: serve(service)})
		Expect(list.Instances(ctx)).To(Equal([]fleet.Instance{agent, entry}))
		Expect(service.Calls()).To(BeEquivalentTo(1))
	})

	It("returns an empty list", func(ctx SpecContext) {
		list := instanceList(platform.InstanceListOptions{
			BaseURL: serve(standin.NewInstanceList(standin.InstanceListOptions{})),
		})
		Expect(list.Instances(ctx)).To(BeEmpty())
	})

	It("transfers an unchanged list once, and a changed one again", func(ctx SpecContext) {
		service := standin.NewInstanceList(standin.InstanceListOptions{})
		first := entryInstance("entry-1")
		service.Set(first)
		list := instanceList(platform.InstanceListOptions{BaseURL: serve(service)})
		var transferred []uint64
		for range 3 {
			instances, err := list.Instances(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(instances).To(Equal([]fleet.Instance{first}))
			instances[0].ID = "changed by the caller"
			transferred = append(transferred, service.BytesSent())
		}
		Expect(transferred).To(HaveEach(transferred[0]))

		service.SetLeaving("entry-1", true)
		first.Leaving = true
		Expect(list.Instances(ctx)).To(Equal([]fleet.Instance{first}))
		Expect(service.Calls()).To(BeEquivalentTo(4))
	})

	It("rejects a 304 response to an unconditional request", func(ctx SpecContext) {
		list := instanceList(platform.InstanceListOptions{
			BaseURL: serve(respondWith(http.StatusNotModified, "", "")),
		})
		_, err := list.Instances(ctx)
		Expect(err).To(beOfType(failure.Refused))
	})

	// The platform's list lags: it still has an instance that has ended and lacks a
	// new one. Nothing in the response shows that, so the core has to learn of both
	// from peers.
	It("shows changes after the lag", func(ctx SpecContext) {
		var seconds atomic.Int64
		now := func() time.Time { return time.Unix(seconds.Load(), 0) }
		service := standin.NewInstanceList(standin.InstanceListOptions{Now: now})
		old := entryInstance("old")
		service.Set(old)
		list := instanceList(platform.InstanceListOptions{BaseURL: serve(service)})
		Expect(list.Instances(ctx)).To(ConsistOf(old))

		service.SetLag(30 * time.Second)
		Expect(service.Remove("old")).To(BeTrue())
		replacement := entryInstance("replacement")
		service.Set(replacement)
		seconds.Add(29)
		Expect(list.Instances(ctx)).To(ConsistOf(old))
		seconds.Add(1)
		Expect(list.Instances(ctx)).To(ConsistOf(replacement))
	})

	DescribeTable("a response that is rejected as Corrupt",
		func(ctx SpecContext, body, reason string) {
			list := instanceList(platform.InstanceListOptions{
				BaseURL: serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, body)
				})),
			})
			instances, err := list.Instances(ctx)
			Expect(err).To(beOfType(failure.Corrupt))
			Expect(err).To(MatchError(ContainSubstring(reason)))
			Expect(instances).To(BeNil())
		},
		Entry("empty", ``, "unexpected end of JSON input"),
		Entry("null", `null`, "want an array"),
		Entry("an object", `{}`, "cannot unmarshal object"),
		Entry("truncated", `[{"id":"a","role":"entry"`, "unexpected end of JSON input"),
		Entry("followed by another value", `[] []`, "after top-level value"),
		Entry("with a null entry", `[null]`, "line 0, cause: chivespindle.invalid: id is empty"),
		Entry("without an ID", `[{"role":"entry","peer_addr":"127.0.0.1:1"}]`, "line 0, cause: chivespindle.invalid: id is empty"),
		Entry("with an unknown role", `[{"id":"a","role":"boss","peer_addr":"127.0.0.1:1"}]`, `"a" has role "boss"`),
		Entry("without a peer address", `[{"id":"a","role":"entry"}]`, `"a" has peer_addr`),
		Entry("with a host name", `[{"id":"a","role":"entry","peer_addr":"localhost:1"}]`, "ParseAddr"),
		Entry("with port 0", `[{"id":"a","role":"entry","peer_addr":"127.0.0.1:0"}]`, `"a" has peer_addr`),
		Entry("with a duplicate ID", `[{"id":"a","role":"entry","peer_addr":"127.0.0.1:1"},`+
			`{"id":"a","role":"entry","peer_addr":"127.0.0.1:2"}]`, `line 1: "a" occurs twice`),
	)

	It("ignores unknown fields", func(ctx SpecContext) {
		body := `[{"id":"a","role":"entry","peer_addr":"127.0.0.1:1","rack":"r7"}]`
		list := instanceList(platform.InstanceListOptions{
			BaseURL: serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, body)
			})),
		})
		Expect(list.Instances(ctx)).To(HaveLen(1))
	})

	// The connection breaks within the body. Instances must fail with Unavailable
	// and return no list: instances missing from a truncated list would look as if
	// they had ended.
	It("never returns a truncated list", func(ctx SpecContext) {
		list := instanceList(platform.InstanceListOptions{BaseURL: serve(truncateAfter("[]", 100))})
		instances, err := list.Instances(ctx)
		Expect(err).To(beOfType(failure.Unavailable))
		Expect(instances).To(BeNil())
	})

	It("rejects a list beyond the maximum size", func(ctx SpecContext) {
		list := instanceList(platform.InstanceListOptions{
			BaseURL: serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, platform.MaxListBytes+1))
			})),
		})
		_, err := list.Instances(ctx)
		Expect(err).To(beOfType(failure.Corrupt))
	})
})
