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

	It("enables all mechanisms without a file", func() {
		off, err := settings.LoadMechanisms("")
		Expect(err).NotTo(HaveOccurred())
		Expect(off.Names()).To(BeEmpty())
	})

	It("disables the mechanisms that the file sets to off", func() {
		off, err := settings.LoadMechanisms(write("# measured\n[mechanisms]\nhand_over = off\nturns = on\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(off.Names()).To(Equal([]string{"hand_over"}))
	})

	DescribeTable("reports file, line and reason of",
		func(text, reason string) {
			_, err := settings.LoadMechanisms(write(text))
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		Entry("an unknown mechanism", "[mechanisms]\nmagic = off\n", "mechanisms.ini:2: [mechanisms] magic: names no mechanism"),
		Entry("an invalid value", "[mechanisms]\n\nturns = no\n", "mechanisms.ini:3: [mechanisms] turns: is neither on nor off"),
		Entry("an unknown section", "[entry]\nturns = off\n", "mechanisms.ini:1: [entry] is no section"),
		Entry("a duplicate key", "[mechanisms]\nturns = off\nturns = on\n", "was set in line 2 before"),
	)

	It("fails if the file does not exist", func() {
		_, err := settings.LoadMechanisms("/no/such/file.ini")
		Expect(err).To(HaveOccurred())
	})
})
