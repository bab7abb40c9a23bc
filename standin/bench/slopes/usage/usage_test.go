package usage

import (
	"bufio"
	"os"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/failure"
)

func TestUsage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Usage")
}

var _ = Describe("the usage of a process", func() {
	It("is read from the kernel's counters", func() {
		r, err := Of(os.Getpid())
		Expect(err).NotTo(HaveOccurred())
		Expect(r.CPU).To(BeNumerically(">", 0))
		Expect(r.RSS).To(BeNumerically(">", 1<<20))
		Expect(Self()).To(BeNumerically(">", 0))
		Expect(Heap()).To(BeNumerically(">", 0))
	})

	It("returns NotFound for a process that does not exist", func() {
		const noSuchProcess = 1 << 30
		_, err := Of(noSuchProcess)
		Expect(errorx.IsOfType(err, failure.NotFound)).To(BeTrue(), "%v", err)
	})
})

var _ = Describe("a metrics response", func() {
	It("is summed over the tags of a name", func() {
		page := "# HELP x y\nchivespindle_bytes_sent{kind=\"gossip\"} 10\nchivespindle_bytes_sent{kind=\"re port\"} 2.5e+06\n\ngo_memstats_mallocs_total 7\n"
		m, err := parse(bufio.NewScanner(strings.NewReader(page)))
		Expect(err).NotTo(HaveOccurred())
		Expect(m).To(Equal(Metrics{SentBytes: 2500010, Mallocs: 7}))
	})

	It("is rejected if a value is not a number", func() {
		_, err := parse(bufio.NewScanner(strings.NewReader("a 1\nb many\n")))
		Expect(errorx.IsOfType(err, failure.Corrupt)).To(BeTrue(), "%v", err)
	})
})
