package platform_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/platform"
	"chivespindle.example/core/revision"
	standin "chivespindle.example/standin/platform"
)

var _ = Describe("ConfigSource", func() {
	It("reads what the service holds", func(ctx SpecContext) {
		service := standin.NewConfigService(standin.ConfigOptions{})
		number := service.SetText([]byte("services"))
		source := configSource(platform.ConfigOptions{BaseURL: serve(service)})
		Expect(source.Read(ctx)).To(Equal(revision.Document{Revision: number, Text: []byte("services")}))
	})

	It("returns the unchanged document when the wait ends", func(ctx SpecContext) {
		service := standin.NewConfigService(standin.ConfigOptions{})
		number := service.SetText([]byte("services"))
		source := configSource(platform.ConfigOptions{BaseURL: serve(service), Wait: shortWait})
		Expect(source.Watch(ctx, number)).To(Equal(revision.Document{Revision: number, Text: []byte("services")}))
		Expect(service.Calls()).To(BeEquivalentTo(2), "one watch, and one read for a text not yet seen")
		Expect(source.Watch(ctx, number)).To(Equal(revision.Document{Revision: number, Text: []byte("services")}))
		Expect(service.Calls()).To(BeEquivalentTo(3), "the text of an earlier answer is used again")
	})
})
