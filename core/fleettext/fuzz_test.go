package fleettext_test

import (
	"bytes"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleettext"
)

// FuzzLoad checks that Load does not panic, that each fault refers to a line of
// the input, and that Join preserves the meaning of a valid configuration.
func FuzzLoad(f *testing.F) {
	for _, pattern := range []string{"testdata/*.good.ini", "testdata/*.bad.ini"} {
		for _, file := range mustGlob(pattern) {
			text, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		g := NewWithT(t)
		loaded, err := fleettext.Load("fuzz.ini", text)
		if err != nil {
			check := fleettext.AsCheckError(err)
			g.Expect(check).NotTo(BeNil())
			g.Expect(check.Faults).NotTo(BeEmpty())
			for _, fault := range check.Faults {
				g.Expect(fault.Line).To(BeNumerically(">=", 1))
				g.Expect(fault.Line).To(BeNumerically("<=", 1+bytes.Count(text, []byte("\n"))))
				g.Expect(fault.Reason).NotTo(BeEmpty())
			}
			return
		}
		joined := fleettext.Join(loaded.Sections())
		g.Expect(len(joined)).To(BeNumerically("<=", len(text)))
		again, err := fleettext.Load("joined.ini", joined)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.Digest()).To(Equal(loaded.Digest()))
		g.Expect(fleettext.Diff(loaded, again)).To(BeEmpty())
	})
}
