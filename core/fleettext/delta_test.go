package fleettext_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
)

const digestA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

const digestB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

// sectionsGen generates the sections of a valid configuration in random order.
var sectionsGen = rapid.Custom(func(t *rapid.T) []string {
	sections := []string{"[fleet]\nname = f\n"}
	for _, name := range []string{"v1", "v2"} {
		digest := rapid.SampledFrom([]string{digestA, digestB}).Draw(t, name)
		sections = append(sections, fmt.Sprintf("[version %s]\nmanifest = %s\n", name, digest))
	}
	var earlier []string
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		if rapid.Bool().Draw(t, name+" is there") {
			sections = append(sections, drawService(t, name, earlier))
			earlier = append(earlier, name)
		}
	}
	for _, name := range []string{"w1", "w2"} {
		if rate := rapid.IntRange(0, 3).Draw(t, name); rate > 0 {
			sections = append(sections, fmt.Sprintf("[workspace %s]\nrequests_per_second = %d\n", name, rate))
		}
	}
	return rapid.Permutation(sections).Draw(t, "order")
})

func drawService(t *rapid.T, name string, earlier []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[service %s]\n", name)
	if rapid.Bool().Draw(t, name+" is a model") {
		version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, name+" version")
		fmt.Fprintf(&b, "kind = model\nversion = %s\n", version)
	} else {
		b.WriteString("kind = plain\n")
	}
	if len(earlier) > 0 && rapid.Bool().Draw(t, name+" depends") {
		fmt.Fprintf(&b, "depends_on = %s\n", rapid.SampledFrom(earlier).Draw(t, name+" on"))
	}
	fmt.Fprintf(&b, "max_attempts = %d\n", rapid.IntRange(1, 3).Draw(t, name+" attempts"))
	return b.String()
}

func mustParse(t *rapid.T, text string) *fleettext.Fleet {
	f, err := fleettext.Load("fleet.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// One process reads the configuration from the platform, another receives the
// changed sections from a peer. If the results differed, two entry instances at
// the same revision would respond differently to the same caller.
func TestApplyMatchesLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := mustParse(t, strings.Join(sectionsGen.Draw(t, "before"), ""))
		after := mustParse(t, strings.Join(sectionsGen.Draw(t, "after"), ""))
		for _, base := range []*fleettext.Fleet{before, nil} {
			var outline fleettext.Outline
			if base != nil {
				outline = base.Outline()
			}
			delta := fleettext.NewDelta(outline, after)
			got, err := fleettext.Apply("fleet.ini", base, delta)
			if err != nil {
				t.Fatal(err)
			}
			reloaded, err := fleettext.Reload("fleet.ini", fleettext.Join(after.Sections()), base)
			if err != nil {
				t.Fatal(err)
			}
			if reloaded.Digest() != after.Digest() || len(fleettext.Diff(reloaded, after)) > 0 {
				t.Fatalf("%v", fleettext.Diff(reloaded, after))
			}
			if got.Digest() != after.Digest() || len(fleettext.Diff(got, after)) > 0 {
				t.Fatalf("%v", fleettext.Diff(got, after))
			}
			if !slices.Equal(got.DependencyOrder(), after.DependencyOrder()) {
				t.Fatalf("%v, want %v", got.DependencyOrder(), after.DependencyOrder())
			}
		}
	})
}

func TestDigestIgnoresOrderAndComments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sections := sectionsGen.Draw(t, "sections")
		f := mustParse(t, strings.Join(sections, ""))
		other := rapid.Permutation(sections).Draw(t, "other order")
		g := mustParse(t, "; a comment\n"+strings.Join(other, "\n# another\n"))
		if f.Digest() != g.Digest() {
			t.Fatal("the digest depends on the order of sections or on comments")
		}
	})
}

var _ = Describe("Apply", func() {
	const text = "[fleet]\nname = f\n[service a]\nkind = plain\n[service b]\nkind = plain\ndepends_on = a\n"
	var base, result *fleettext.Fleet
	var delta fleettext.Delta

	BeforeEach(func() {
		base = mustLoadText(text)
		result = mustLoadText(text + "max_attempts = 1\n[workspace w]\nrequests_per_second = 1\n")
		delta = fleettext.NewDelta(base.Outline(), result)
	})

	It("needs only the changed sections", func() {
		Expect(delta.Changed).To(HaveLen(2))
		Expect(delta.Changed[0].Name).To(Equal("service b"))
		Expect(delta.Changed[1].Name).To(Equal("workspace w"))
		back := fleettext.NewDelta(result.Outline(), base)
		Expect(back.Removed).To(Equal([]string{"workspace w"}))
	})

	DescribeTable("rejects",
		func(damage func(d *fleettext.Delta), want *errorx.Type, message string) {
			damage(&delta)
			_, err := fleettext.Apply("peer", base, delta)
			Expect(errorx.IsOfType(err, want)).To(BeTrue(), "%v", err)
			Expect(err.Error()).To(ContainSubstring(message))
		},
		Entry("a delta for another base", func(d *fleettext.Delta) { d.Base = fleet.Digest{1} },
			fleettext.WrongBase, "delta applies to configuration 01"),
		Entry("a delta without one of its sections", func(d *fleettext.Delta) { d.Changed = d.Changed[:1] },
			failure.Corrupt, "after applying the delta, want"),
		Entry("a delta with a modified value", func(d *fleettext.Delta) {
			d.Changed[0].Text = strings.Replace(d.Changed[0].Text, "max_attempts=1", "max_attempts=2", 1)
		}, failure.Corrupt, "after applying the delta, want"),
		Entry("a section under another name", func(d *fleettext.Delta) { d.Changed[0].Name = "service x" },
			failure.Corrupt, "section [service b] was sent under another name"),
		Entry("a section with an unknown key", func(d *fleettext.Delta) { d.Changed[1].Text += "colour=red\n" },
			failure.Invalid, `peer:7: unknown key "colour" in [workspace w]`),
		Entry("a delta that removes a section that others depend on", func(d *fleettext.Delta) { d.Removed = []string{"service a"} },
			failure.Invalid, "peer:4: depends_on: there is no section [service a]"),
		Entry("a delta that removes the fleet section", func(d *fleettext.Delta) { d.Removed = []string{"fleet"} },
			failure.Invalid, "section [fleet] is missing"),
	)

	It("rejects a result that exceeds the size limit", func() {
		lines := make([]string, 0, fleettext.MaxNameBytes)
		for i := range 30000 {
			lines = append(lines, fmt.Sprintf("[workspace w%d]\nrequests_per_second=1", i))
		}
		Expect(len(strings.Join(lines, "\n"))).To(BeNumerically(">", fleettext.MaxBytes))
		for _, line := range lines {
			delta.Changed = append(delta.Changed, fleettext.Section{
				Name: line[1:strings.Index(line, "]")], Text: line + "\n",
			})
		}
		_, err := fleettext.Apply("peer", base, delta)
		Expect(fleettext.AsCheckError(err).Error()).To(ContainSubstring("at most 1048576 are allowed"))
	})
})

var _ = Describe("Reload", func() {
	It("reports the same faults as Load, also in unchanged sections", func() {
		good := "[fleet]\nname = f\n[service a]\nkind = plain\n\n[service b]\nkind = plain\ndepends_on = a\n"
		bad := []byte("; moved down\n" + strings.Replace(good, "[service a]", "[service c]", 1) + "size = 3\n")
		_, want := fleettext.Load("fleet.ini", bad)
		_, err := fleettext.Reload("fleet.ini", bad, mustLoadText(good))
		Expect(fleettext.AsCheckError(err)).To(Equal(fleettext.AsCheckError(want)))
		Expect(fleettext.AsCheckError(err).Error()).To(HavePrefix("fleet.ini:9: depends_on: there is no section [service a]"))
	})
})

var _ = Describe("Diff", func() {
	It("describes each change of an effective value", func() {
		before := mustLoadText(`[fleet]
name = f
[version v1]
manifest = ` + digestA + `
[version v2]
manifest = ` + digestA + `
[service pool]
kind = model
version = v1
[service api]
kind = plain
[service old]
kind = plain
[workspace w]
requests_per_second = 1
`)
		after := mustLoadText(`[fleet]
name = f
[version v1]
manifest = ` + digestA + `
[version v2]
manifest = ` + digestB + `
[service pool]
kind = model
version = v2
spread = time
origin_rate = 1500KB
[service api]
kind = plain
depends_on = pool
[service new]
kind = plain
[workspace w]
requests_per_second = 2
burst = 2
`)
		var messages []string
		for _, change := range fleettext.Diff(before, after) {
			messages = append(messages, change.String())
		}
		Expect(messages).To(Equal([]string{
			"service api: depends_on changed from none to pool",
			"service new added",
			"service old removed",
			"service pool: version changed from v1@aaaaaaaaaaaa to v2@bbbbbbbbbbbb",
			"service pool: origin_rate changed from 0 to 1500KB",
			"version v2: manifest changed from " + digestA + " to " + digestB,
			"workspace w: requests_per_second changed from 1 to 2",
			"workspace w: burst changed from 1 to 2",
		}))
		Expect(fleettext.Diff(nil, after)).To(HaveLen(7))
	})
})
