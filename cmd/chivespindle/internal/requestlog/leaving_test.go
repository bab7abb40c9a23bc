package requestlog_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/cmd/chivespindle/internal/requestlog"
)

var _ = Describe("A request that reached a leaving server", func() {
	const processLines = `ts=2031-05-06T07:08:01Z event=servers_adopted instance=entry-1 source=peer from=10.0.0.2 revision=40 before=0 reading_age=300ms
ts=2031-05-06T07:08:02Z event=servers_adopted instance=entry-2 source=store revision=42 before=40 reading_age=4ms
ts=2031-05-06T07:08:02Z event=server_leaves instance=entry-2 server=i-1 service=pool revision=41
ts=2031-05-06T07:08:06Z event=servers_adopted instance=entry-1 source=reader from=10.0.0.3 revision=44 before=40 reading_age=20ms
ts=2031-05-06T07:08:06Z event=server_leaves instance=entry-1 server=i-1 service=pool revision=41
`
	const delay = "entry-1 knew it 4s after that, and went by revision 40 of peer 10.0.0.2, read 300ms before it was adopted at 07:08:01.000 until then."

	cause := func(server, text string) string {
		log := requestlog.NewCollector("a")
		log.SetServer(server)
		_, err := requestlog.Read(strings.NewReader(text), log.Add)
		Expect(err).NotTo(HaveOccurred())
		return log.Report().Cause
	}

	// Guards against a report that does not say which server list an entry
	// used.
	It("is explained by the server list that its entry used", func() {
		requestLine := "ts=2031-05-06T07:08:05.1Z event=attempt_failed instance=entry-1 request=a age=100ms server=i-1 addr=10.0.1.1:80 error=reset\n"
		Expect(cause("", processLines+requestLine)).To(And(ContainSubstring("Server i-1 leaves: the first entry to know, entry-2, did at 07:08:02.000, by revision 42 of store"),
			ContainSubstring(delay)))
	})

	It("is explained for the given server if no line names the request", func() {
		Expect(cause("i-1", processLines)).To(ContainSubstring(delay))
	})

	It("has no explanation if its entry did not learn later or the request arrived before", func() {
		noticedLater := "ts=2031-05-06T07:08:07Z event=attempt_failed instance=entry-1 request=a age=100ms server=i-1 error=reset\n"
		Expect(cause("", processLines+noticedLater)).NotTo(ContainSubstring("leaves"))
		arrivedBefore := "ts=2031-05-06T07:08:05Z event=attempt_failed instance=entry-1 request=a age=4s server=i-1 error=reset\n"
		Expect(cause("", processLines+arrivedBefore)).NotTo(ContainSubstring("leaves"))
	})
})
