package wholepath_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/standin/harness"
)

// update rewrites the golden files. Review the difference before committing it.
var update = flag.Bool("update", false, "rewrite the golden files")

// session is the transcript of a caller's connections, one exchange after the
// other. Everything that differs between two runs is replaced by a name.
type session struct {
	fleet *testFleet
	text  strings.Builder
}

// exchange is one request of a session.
type exchange struct {
	method, path string
	headers      map[string]string
	body         string
}

// callerHTTP is the HTTP client that sends the exchanges.
var callerHTTP = &http.Client{Transport: &http.Transport{DisableCompression: true}}

// do sends a request to an entry, records both sides and returns the response
// body.
func (s *session) do(to *harness.Process, e exchange) string {
	GinkgoHelper()
	req, err := http.NewRequest(e.method, "http://"+to.Instance.CallerAddr.String()+e.path, strings.NewReader(e.body))
	Expect(err).NotTo(HaveOccurred())
	fmt.Fprintf(&s.text, "> %s %s at %s\n", e.method, e.path, to.Instance.ID)
	for name, value := range e.headers {
		req.Header.Set(name, value)
	}
	s.writeHeaders("> ", req.Header)
	s.writeBody("> ", e.body)

	resp, err := callerHTTP.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	fmt.Fprintf(&s.text, "< %s %s\n", resp.Proto, resp.Status)
	s.writeHeaders("< ", resp.Header)
	s.writeBody("< ", string(body))
	s.writeHeaders("< after the body: ", resp.Trailer)
	s.text.WriteString("\n")
	return string(body)
}

func (s *session) writeHeaders(prefix string, headers http.Header) {
	for _, name := range slices.Sorted(maps.Keys(headers)) {
		for _, value := range headers[name] {
			fmt.Fprintf(&s.text, "%s%s: %s\n", prefix, name, value)
		}
	}
}

func (s *session) writeBody(prefix, body string) {
	for _, line := range strings.Split(strings.TrimRight(body, "\n"), "\n") {
		if line != "" {
			fmt.Fprintf(&s.text, "%s  %s\n", strings.TrimRight(prefix, " "), line)
		}
	}
}

// What differs between two runs.
var (
	dateHeader   = regexp.MustCompile(`(?m)^(. Date: ).*$`)
	issuedKey    = regexp.MustCompile(`\b[\w-]+\.[0-9a-f]+\.\d{13}\.[0-9a-f]+\b`)
	serverReason = regexp.MustCompile(`"reason":"orders-\d:`)
	requestID    = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	bodyLength   = regexp.MustCompile(`(?m)^(. Content-Length: ).*$`)
)

// normalized returns the transcript with names in place of dates, ids and
// addresses.
func (s *session) normalized() string {
	text := s.text.String()
	for _, p := range s.fleet.entries {
		text = strings.ReplaceAll(text, p.Instance.CallerAddr.String(), "<address of "+string(p.Instance.ID)+">")
	}
	text = dateHeader.ReplaceAllString(text, "$1<date>")
	text = bodyLength.ReplaceAllString(text, "$1<length>")
	text = issuedKey.ReplaceAllString(text, "<key>")
	text = serverReason.ReplaceAllString(text, `"reason":"<server>:`)
	return requestID.ReplaceAllString(text, "<id>")
}

// expectGolden compares a session with the one in testdata.
func (s *session) expectGolden(name string) {
	GinkgoHelper()
	got := []byte(s.normalized())
	file := filepath.Join("testdata", name+".golden")
	if *update {
		Expect(os.WriteFile(file, got, 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(bytes.TrimSpace(got))).To(Equal(string(bytes.TrimSpace(want))))
}
