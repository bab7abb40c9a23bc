package fleettext_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
)

// update regenerates the golden files; review the difference before committing.
var update = flag.Bool("update", false, "write golden files")

func mustGlob(pattern string) []string {
	names, err := filepath.Glob(pattern)
	if err != nil || len(names) == 0 {
		panic("no files match " + pattern)
	}
	return names
}

func mustLoad(file string) *fleettext.Fleet {
	GinkgoHelper()
	text, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	return mustLoadText(string(text))
}

func mustLoadText(text string) *fleettext.Fleet {
	GinkgoHelper()
	f, err := fleettext.Load("fleet.ini", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return f
}

var _ = Describe("Load", func() {
	for _, file := range mustGlob("testdata/*.good.ini") {
		It("accepts "+filepath.Base(file), func() {
			f := mustLoad(file)
			again := mustLoadText(string(fleettext.Join(f.Sections())))
			Expect(again.Digest()).To(Equal(f.Digest()))
			Expect(again.Sections()).To(Equal(f.Sections()))
			Expect(fleettext.Diff(f, again)).To(BeEmpty())
		})
	}

	for _, file := range mustGlob("testdata/*.bad.ini") {
		It("rejects "+filepath.Base(file), func() {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			_, err = fleettext.Load(filepath.Base(file), text)
			Expect(errorx.IsOfType(err, failure.Invalid)).To(BeTrue(), "%v", err)
			got := fleettext.AsCheckError(err).Error() + "\n"
			golden := strings.TrimSuffix(file, ".ini") + ".txt"
			if *update {
				Expect(os.WriteFile(golden, []byte(got), 0o600)).To(Succeed())
			}
			want, err := os.ReadFile(golden)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(string(want)))
		})
	}

	It("reads every key", func() {
		f := mustLoad("testdata/every_key.good.ini")
		Expect(f.Name()).To(Equal("ffsan"))
		version, _ := f.Version("kieli-7b-r3")
		pool, ok := f.Service("spindle-pool")
		Expect(ok).To(BeTrue())
		Expect(pool).To(Equal(fleettext.Service{
			Name: "spindle-pool", Kind: fleettext.KindModel, Version: version,
			Adapters:       []string{"a1", "a2"},
			DependsOn:      []fleet.ServiceName{"member-portal", "workshop-api"},
			MaxUnavailable: 2, Spread: fleettext.SpreadOrigin,
			OriginCopies: 1.25, OriginRate: 50e6,
			EngineFencing: fleettext.FencingChecked, EngineRole: "prefill",
			MaxAttempts: 5, DrainTimeout: 90 * time.Second,
		}))
		limits, _ := f.Limits("apapa")
		Expect(limits).To(Equal(fleettext.Limits{
			Workspace: "apapa", RequestsPerSecond: 0.5, Burst: 40, MaxInFlight: 12, Priority: 0,
		}))
		Expect(f.DependencyOrder()).To(Equal([]fleet.ServiceName{"member-portal", "workshop-api", "spindle-pool"}))
	})

	It("applies defaults", func() {
		f := mustLoad("testdata/defaults.good.ini")
		pool, _ := f.Service("spindle-pool")
		version, _ := f.Version("kieli-7b-r3")
		Expect(pool).To(Equal(fleettext.Service{
			Name: "spindle-pool", Kind: fleettext.KindModel, Version: version,
			MaxUnavailable: 1, Spread: fleettext.SpreadTime, OriginCopies: 3,
			EngineFencing: fleettext.FencingIgnored, MaxAttempts: 3, DrainTimeout: 30 * time.Second,
		}))
		limits, _ := f.Limits("apapa")
		Expect(limits).To(Equal(fleettext.Limits{
			Workspace: "apapa", RequestsPerSecond: 20.75, Burst: 20, Priority: 3,
		}))
	})

	It("inherits nothing from a section whose name is a prefix", func() {
		f := mustLoad("testdata/no_inheritance.good.ini")
		child, _ := f.Service("a.b")
		Expect(child.MaxAttempts).To(Equal(fleettext.DefaultMaxAttempts))
	})

	It("rejects a configuration over the size limit and accepts one at the limit", func() {
		text := []byte("[fleet]\nname=f\n")
		full := append(text, bytes.Repeat([]byte(";"), fleettext.MaxBytes-len(text))...)
		_, err := fleettext.Load("big.ini", full)
		Expect(err).NotTo(HaveOccurred())
		_, err = fleettext.Load("big.ini", append(full, ';'))
		Expect(fleettext.AsCheckError(err).Error()).To(Equal("big.ini:1: text has 1048577 bytes, at most 1048576 are allowed"))
	})

	It("limits the number of listed faults", func() {
		_, err := fleettext.Load("junk.ini", bytes.Repeat([]byte("junk\n"), 1000))
		check := fleettext.AsCheckError(err)
		Expect(check.Faults).To(HaveLen(fleettext.MaxFaults))
		Expect(check.Omitted).To(Equal(901)) // including the missing [fleet]
	})
})
