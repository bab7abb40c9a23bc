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

	// watch starts a watch in the background and waits until it has arrived.
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

	It("reads the newest text", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service)})
		Expect(source.Read(ctx)).To(Equal(first))
		Expect(service.SetConfig([]byte("other"))).To(Equal(first.Revision + 1))
		Expect(source.Read(ctx)).To(Equal(revision.Document{Revision: first.Revision + 1, Text: []byte("other")}))
		Expect(service.Calls()).To(BeEquivalentTo(2))
	})

	It("answers a waiting watch when the text changes, as one call", func() {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: longWait})
		documents, failures := watch(source, first.Revision)
		service.SetConfig([]byte("other"))
		Eventually(failures).Should(Receive(BeNil()))
		Expect(documents).To(Receive(Equal(revision.Document{Revision: first.Revision + 1, Text: []byte("other")})))
		Expect(service.Calls()).To(BeEquivalentTo(1))
		Expect(service.WaitingWatches()).To(BeZero())
	})

	It("answers a watch at once whose revision is not the one held", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: longWait})
		Expect(source.Watch(ctx, first.Revision-1)).To(Equal(first))
		Expect(source.Watch(ctx, first.Revision+5)).To(Equal(first))
	})

	It("returns the unchanged document when the wait ends", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: shortWait})
		Expect(source.Watch(ctx, first.Revision)).To(Equal(first))
		Expect(service.Calls()).To(BeEquivalentTo(2), "one watch, and one read of a text not yet seen")
		Expect(source.Watch(ctx, first.Revision)).To(Equal(first))
		Expect(service.Calls()).To(BeEquivalentTo(3), "the text of the earlier answer is used again")
	})

	It("never returns an earlier text as the unchanged one", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: shortWait})
		Expect(source.Read(ctx)).To(Equal(first))
		second := revision.Document{Text: []byte("second")}
		second.Revision = service.SetConfig(second.Text)
		Expect(source.Watch(ctx, second.Revision)).To(Equal(second))
	})

	// The caller sees an older revision than before, from Read and Watch. The
	// platform falls back to an old copy and comes back later. The adapter
	// hides neither, since only the core knows which revision is in force.
	It("passes a stale answer on", func(ctx SpecContext) {
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

	// The caller sees the same revision with another text. The platform was
	// rebuilt and gave the number twice; the core has to notice and to keep
	// what is in force, so that the adapter must not answer from memory.
	It("passes a second text of one revision on", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service)})
		Expect(source.Read(ctx)).To(Equal(first))
		service.SetConfigAt(first.Revision, []byte("forked"))
		Expect(source.Read(ctx)).To(Equal(revision.Document{Revision: first.Revision, Text: []byte("forked")}))
	})

	// The caller of a watch sees Unavailable at once, not after the wait. The
	// service goes down while the watch waits.
	It("ends a waiting watch when the service goes down", func() {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: longWait})
		_, failures := watch(source, first.Revision)
		service.SetDown(true)
		Eventually(failures).Should(Receive(beOfType(failure.Unavailable)))
	})

	// The caller of a watch sees Unavailable. The service's process dies while
	// the watch waits, so that the connection closes without an answer.
	It("ends a waiting watch when the service dies", func() {
		server, err := standin.Start(service, standin.AnyPort)
		Expect(err).NotTo(HaveOccurred())
		source := configSource(platform.ConfigOptions{BaseURL: server.URL(), Wait: longWait})
		_, failures := watch(source, first.Revision)
		server.Stop()
		Eventually(failures).Should(Receive(beOfType(failure.Unavailable)))
	})

	// The caller of a watch sees Timeout after the wait and the margin. The
	// service falls silent while the watch waits and its link stays open, so
	// that nothing but the watch's own deadline can end it.
	It("ends a waiting watch when the service falls silent", func() {
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: time.Second, Margin: shortStall})
		_, failures := watch(source, first.Revision)
		service.SetUnresponsive(true)
		Eventually(failures).Should(Receive(beOfType(failure.Timeout)))
		Eventually(service.WaitingWatches).Should(BeZero())
	})

	It("frees the service of a watch that is given up", func() {
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

	It("takes a text of the largest size and no larger one", func(ctx SpecContext) {
		largest := []byte(strings.Repeat("x", platform.MaxTextBytes))
		number := service.SetConfig(largest)
		source := configSource(platform.ConfigOptions{BaseURL: serve(service)})
		Expect(source.Read(ctx)).To(Equal(revision.Document{Revision: number, Text: largest}))
		service.SetConfig(append(largest, 'x'))
		_, err := source.Read(ctx)
		Expect(err).To(beOfType(failure.Corrupt))
	})

	DescribeTable("an answer that is refused as Corrupt",
		func(ctx SpecContext, header string) {
			source := configSource(platform.ConfigOptions{
				BaseURL: serve(answering(http.StatusOK, "Config-Revision", header)),
			})
			_, err := source.Read(ctx)
			Expect(err).To(beOfType(failure.Corrupt))
			Expect(err).To(MatchError(ContainSubstring("Config-Revision")))
		},
		Entry("without a revision", ""),
		Entry("with revision 0", "0"),
		Entry("with a negative revision", "-1"),
		Entry("with a revision that is no number", "1x"),
		Entry("with a revision beyond 64 bits", "18446744073709551616"),
	)

	It("refuses an answer without change that it did not ask for", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(answering(http.StatusNotModified, "", ""))})
		_, err := source.Read(ctx)
		Expect(err).To(beOfType(failure.Refused))
	})

	// The caller sees Unavailable and no text. The connection dies within the
	// body; half a text would pass for a whole one that lost its last services.
	It("never returns half a text", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(cutAfter("[service a]\n", 100))})
		document, err := source.Read(ctx)
		Expect(err).To(beOfType(failure.Unavailable))
		Expect(document).To(BeZero())
	})

	// Guards against half a text of a service that was killed, taken for a whole one.
	It("returns no text whose end is that of the connection", func(ctx SpecContext) {
		source := configSource(platform.ConfigOptions{BaseURL: serve(unmarked("[service a]\n"))})
		document, err := source.Read(ctx)
		Expect(err).To(beOfType(failure.Unavailable))
		Expect(document).To(BeZero())
	})
})
