package once_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/once"
)

var _ = Describe("Key", func() {
	DescribeTable("is parsed as",
		func(text string, want once.Kind) {
			key, err := once.ParseKey("workshop-7", text)
			Expect(err).NotTo(HaveOccurred())
			Expect(key.Kind).To(Equal(want))
			Expect(key.CreatedAt.IsZero()).To(Equal(want == once.Plain))
		},
		Entry("any text", "job-card-17", once.Plain),
		Entry("a random UUID", "0b6aa4c8-67fd-4c1b-a9a3-3a1f2c7f6d11", once.Plain),
		Entry("a version 7 UUID", "01c2b7b9-c7a8-7000-8000-000000000003", once.Dated),
		Entry("an issued key", "apapa-s3.00000000000000aa.1935817689000.00000000000000ff", once.Issued),
		Entry("an issued key whose home contains dots", "a.b.c.00000000000000aa.1935817689000.00000000000000ff", once.Issued),
		Entry("a version number", "release.1.2.3", once.Plain),
		Entry("an issued key without a home", ".00000000000000aa.1935817689000.00000000000000ff", once.Plain),
		Entry("a truncated issued key", "apapa-s3.00000000000000aa.1935817689000.00ff", once.Plain),
	)

	It("parses to the issued key", func() {
		key := once.Issue("workshop-7", "apapa.s3", 0xaa, start, 0xff)
		read, err := once.ParseKey("workshop-7", key.Text)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(key))
	})

	DescribeTable("is rejected",
		func(text, want string) {
			_, err := once.ParseKey("workshop-7", text)
			Expect(errorx.IsOfType(err, failure.Invalid)).To(BeTrue())
			Expect(err.Error()).To(ContainSubstring(want))
		},
		Entry("empty", "", "1 to 255 characters, has 0"),
		Entry("too long", strings.Repeat("k", 256), "1 to 255 characters, has 256"),
		Entry("with a space", "job card", "character 4 is not visible ASCII"),
		Entry("with a control character", "job\x00", "character 4 is not visible ASCII"),
	)
})

var _ = Describe("Home", func() {
	members := []fleet.InstanceID{"s0", "s1", "s2", "s3", "s4"}

	homes := func(members []fleet.InstanceID) map[string]fleet.InstanceID {
		found := map[string]fleet.InstanceID{}
		for i := range 1000 {
			key := plainKey(fmt.Sprintf("job-card-%d", i))
			found[key.Text], _ = once.Home(key, members)
		}
		return found
	}

	It("spreads keys evenly, whatever the order of the list", func() {
		counts := map[fleet.InstanceID]int{}
		for _, home := range homes(members) {
			counts[home]++
		}
		Expect(counts).To(HaveLen(5))
		Expect(counts).To(HaveEach(BeNumerically("~", 200, 45)))
		Expect(homes([]fleet.InstanceID{"s4", "s2", "s0", "s1", "s3"})).To(Equal(homes(members)))
	})

	It("moves only the keys of a removed member", func() {
		before, after := homes(members), homes(members[1:])
		for text, home := range before {
			if home != "s0" {
				Expect(after[text]).To(Equal(home))
			}
		}
	})

	It("is the instance that an issued key names, listed or not", func() {
		home, ok := once.Home(issuedKey(1, start), members[1:])
		Expect(ok).To(BeTrue())
		Expect(home).To(Equal(fleet.InstanceID("s0")))
	})

	It("does not exist without members", func() {
		_, ok := once.Home(plainKey("job-card-1"), nil)
		Expect(ok).To(BeFalse())
	})

	// Two workspaces use the same numbers as keys. If the number alone were the key,
	// one workspace would get the response of the other.
	It("separates the keys of workspaces", func() {
		r := once.New(optionsOf("s0", testIncarnation))
		one := once.Issue("workshop-7", "s0", testIncarnation, start, 1)
		two := once.Issue("workshop-8", "s0", testIncarnation, start, 1)
		Expect(r.Begin(start, one, bodyOf("order"), once.RequestInfo{}).Action).To(Equal(once.Run))
		Expect(r.MarkForwarded(one)).To(BeTrue())
		r.Finish(start, one, once.Result{Outcome: failure.Ran, Body: []byte("card 1"), HasBody: true})
		Expect(r.Begin(start.Add(time.Second), two, bodyOf("order"), once.RequestInfo{}).Action).To(Equal(once.Run))
	})
})
