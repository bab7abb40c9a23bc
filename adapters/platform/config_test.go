package platform_test

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/platform"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/revision"
	standin "chivespindle.example/standin/platform"
)

var _ = Describe("ConfigSource", func() {
	var service *standin.ConfigService
	var first revision.Document

	BeforeEach(func() {
		service = standin.NewConfigService(standin.ConfigOptions{})
		first = revision.Document{Text: []byte("[service kielimalli]\n")}
		first.Revision = service.SetConfig(first.Text)
	})

	// watch starts a watch in the background and waits until it has reached the
	// service.
	watch := func(source revision.Source, after revision.Revision) (<-chan revision.Document, <-chan error) {
		documents := make(chan revision.Document, 1)
		failures, cancel := inBackground(func(ctx context.Context) error {
			document, err := source.Watch(ctx, after)
			documents <- document
			return err
		})
		DeferCleanup(cancel)
		Eventually(service.WaitingWatches).Should(Equal(1))
		return documents, failures
	}

	It("reads the latest text", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service)})
		Expect(source.Read(ctx)).To(Equal(first))
		Expect(service.SetConfig([]byte("other"))).To(Equal(first.Revision + 1))
		Expect(source.Read(ctx)).To(Equal(revision.Document{Revision: first.Revision + 1, Text: []byte("other")}))
		Expect(service.Calls()).To(BeEquivalentTo(2))
	})

	It("completes a waiting watch when the text changes, with a single call", func() {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: longWait})
		documents, failures := watch(source, first.Revision)
		service.SetConfig([]byte("other"))
		Eventually(failures).Should(Receive(BeNil()))
		Expect(documents).To(Receive(Equal(revision.Document{Revision: first.Revision + 1, Text: []byte("other")})))
		Expect(service.Calls()).To(BeEquivalentTo(1))
		Expect(service.WaitingWatches()).To(BeZero())
	})

	It("completes a watch immediately if its revision is not the current one", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: longWait})
		Expect(source.Watch(ctx, first.Revision-1)).To(Equal(first))
		Expect(source.Watch(ctx, first.Revision+5)).To(Equal(first))
	})

	It("returns the unchanged document when the wait ends", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: shortWait})
		Expect(source.Watch(ctx, first.Revision)).To(Equal(first))
		Expect(service.Calls()).To(BeEquivalentTo(2), "one watch, and one read of a text not yet seen")
		Expect(source.Watch(ctx, first.Revision)).To(Equal(first))
		Expect(service.Calls()).To(BeEquivalentTo(3), "the text of the earlier response is reused")
	})

	It("never returns an outdated text as unchanged", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: shortWait})
		Expect(source.Read(ctx)).To(Equal(first))
		second := revision.Document{Text: []byte("second")}
		second.Revision = service.SetConfig(second.Text)
		Expect(source.Watch(ctx, second.Revision)).To(Equal(second))
	})

	// The platform falls back to an old copy and recovers later. Read and Watch
	// must return the older revision and not hide it, since only the core knows
	// which revision is active.
	It("returns an outdated revision unchanged", func(ctx SpecContext) {
		second := revision.Document{Text: []byte("second")}
		second.Revision = service.SetConfig(second.Text)
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: longWait})
		Expect(source.Read(ctx)).To(Equal(second))

		Expect(service.SetStale(first.Revision)).To(Succeed())
		Expect(source.Read(ctx)).To(Equal(first))
		Expect(source.Watch(ctx, second.Revision)).To(Equal(first))

		documents, failures := watch(source, first.Revision)
		Expect(service.SetStale(0)).To(Succeed())
		Eventually(failures).Should(Receive(BeNil()))
		Expect(documents).To(Receive(Equal(second)))
	})

	// The platform was rebuilt and assigned the same revision to another text. The
	// core must detect this and keep the active configuration, so the adapter must
	// not respond from its cache.
	It("returns a second text of the same revision", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service)})
		Expect(source.Read(ctx)).To(Equal(first))
		service.SetConfigAt(first.Revision, []byte("forked"))
		Expect(source.Read(ctx)).To(Equal(revision.Document{Revision: first.Revision, Text: []byte("forked")}))
	})

	// The service goes down while a watch waits. The watch must fail with
	// Unavailable immediately, not after the wait.
	It("ends a waiting watch when the service goes down", func() {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: longWait})
		_, failures := watch(source, first.Revision)
		service.SetDown(true)
		Eventually(failures).Should(Receive(beOfType(failure.Unavailable)))
	})

	// The service's process ends while a watch waits, so that the connection closes
	// without a response. The watch must fail with Unavailable.
	It("ends a waiting watch when the service's process ends", func() {
		server, err := standin.Start(service, standin.AnyPort)
		Expect(err).NotTo(HaveOccurred())
		source := configSource(platform.ConfigOptions{BaseURL: server.URL(), Wait: longWait})
		_, failures := watch(source, first.Revision)
		server.Stop()
		Eventually(failures).Should(Receive(beOfType(failure.Unavailable)))
	})

	// The service stops responding while a watch waits, and its connection stays
	// open, so only the deadline of the watch can end it. The watch must fail with
	// Timeout after the wait and the margin.
	It("ends a waiting watch when the service stops responding", func() {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: time.Second, Margin: shortStall})
		_, failures := watch(source, first.Revision)
		service.SetUnresponsive(true)
		Eventually(failures).Should(Receive(beOfType(failure.Timeout)))
		Eventually(service.WaitingWatches).Should(BeZero())
	})

	It("ends a canceled watch at the service", func() {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: longWait})
		failures, cancel := inBackground(func(ctx context.Context) error {
			_, err := source.Watch(ctx, first.Revision)
			return err
		})
		Eventually(service.WaitingWatches).Should(Equal(1))
		cancel()
		Eventually(failures).Should(Receive(beOfType(platform.Canceled)))
		Eventually(service.WaitingWatches).Should(BeZero())
	})

	It("accepts a text of the maximum size and no larger one", func(ctx SpecContext) {
		largest := []byte(strings.Repeat("x", platform.MaxConfigBytes))
		number := service.SetConfig(largest)
		source := configSource(platform.ConfigOptions{BaseURL: serve(service)})
		Expect(source.Read(ctx)).To(Equal(revision.Document{Revision: number, Text: largest}))
		service.SetConfig(append(largest, 'x'))
		_, err := source.Read(ctx)
		Expect(err).To(beOfType(failure.Corrupt))
	})

	DescribeTable("a response that is rejected as Corrupt",
		func(ctx SpecContext, header string) {
			source := configSource(platform.ConfigOptions{
				BaseURL: serve(respondWith(http.StatusOK, "Config-Revision", header)),
			})
			_, err := source.Read(ctx)
			Expect(err).To(beOfType(failure.Corrupt))
			Expect(err).To(MatchError(ContainSubstring("Config-Revision")))
		},
		Entry("without a revision", ""),
		Entry("with revision 0", "0"),
		Entry("with a negative revision", "-1"),
		Entry("with a revision that is not a number", "1x"),
		Entry("with a revision beyond 64 bits", "18446744073709551616"),
	)

	It("rejects a 304 response to an unconditional request", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(respondWith(http.StatusNotModified, "", ""))})
		_, err := source.Read(ctx)
		Expect(err).To(beOfType(failure.Refused))
	})

	// The connection breaks within the body. Read must fail with Unavailable and
	// return no text: a truncated text could pass for a complete one without its
	// last services.
	It("never returns a truncated text", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(truncateAfter("[service a]\n", 100))})
		document, err := source.Read(ctx)
		Expect(err).To(beOfType(failure.Unavailable))
		Expect(document).To(BeZero())
	})

	// Guards against a truncated text of a service that was killed, taken for a
	// complete one.
	It("returns no text whose end is marked only by the end of the connection", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(unframed("[service a]\n"))})
		document, err := source.Read(ctx)
		Expect(err).To(beOfType(failure.Unavailable))
		Expect(document).To(BeZero())
	})
})
