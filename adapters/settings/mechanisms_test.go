package settings_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/settings"
)

var _ = Describe("LoadMechanisms", func() {
	write := func(text string) string {
		path := filepath.Join(GinkgoT().TempDir(), "mechanisms.ini")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}

	It("leaves everything on without a file", func() {
		off, err := settings.LoadMechanisms("")
		Expect(err).NotTo(HaveOccurred())
		Expect(off.Names()).To(BeEmpty())
	})

	It("switches off what the file names", func() {
		off, err := settings.LoadMechanisms(write("# measured\n[mechanisms]\nhand_over = off\nturns = on\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(off.Names()).To(Equal([]string{"hand_over"}))
	})

	DescribeTable("refuses with file, line and reason",
		func(text, reason string) {
			_, err := settings.LoadMechanisms(write(text))
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		Entry("an unknown mechanism", "[mechanisms]\nmagic = off\n", "mechanisms.ini:2: [mechanisms] magic: names no mechanism"),
		Entry("another word", "[mechanisms]\n\nturns = no\n", "mechanisms.ini:3: [mechanisms] turns: is neither on nor off"),
		Entry("another section", "[entry]\nturns = off\n", "mechanisms.ini:1: [entry] is no section"),
		Entry("twice", "[mechanisms]\nturns = off\nturns = on\n", "was set in line 2 before"),
	)

	It("refuses a file that is not there", func() {
		_, err := settings.LoadMechanisms("/no/such/file.ini")
		Expect(err).To(HaveOccurred())
	})
})
