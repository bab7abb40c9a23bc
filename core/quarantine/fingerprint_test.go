package quarantine_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/quarantine"
)

var _ = Describe("A fingerprint", func() {
	content := func() quarantine.Content {
		return quarantine.Content{Workspace: "dock", Method: "POST", Host: "relay.example", Target: "/read/1?page=2", Body: []byte("draft")}
	}

	It("is the same for the same content", func() {
		Expect(content().Fingerprint()).To(Equal(content().Fingerprint()))
	})

	DescribeTable("differs with", func(change func(*quarantine.Content)) {
		other := content()
		change(&other)
		Expect(other.Fingerprint()).NotTo(Equal(content().Fingerprint()))
	},
		Entry("the workspace", func(c *quarantine.Content) { c.Workspace = "hall" }),
		Entry("the method", func(c *quarantine.Content) { c.Method = "PUT" }),
		Entry("the host", func(c *quarantine.Content) { c.Host = "jobs.example" }),
		Entry("the query", func(c *quarantine.Content) { c.Target = "/read/1?page=3" }),
		Entry("the body", func(c *quarantine.Content) { c.Body = []byte("drafts") }),
		Entry("the boundary between two fields", func(c *quarantine.Content) { c.Host, c.Target = "relay.example/", "read/1?page=2" }),
	)
})
