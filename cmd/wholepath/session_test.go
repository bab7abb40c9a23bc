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

// update writes the golden files anew; read the difference before it is
// committed.
var update = flag.Bool("update", false, "write golden files")

// session is what goes over a caller's connections, one exchange after the
// other, with everything that differs between two runs replaced by a name.
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

// caller sends the exchanges of sessions.
var caller = &http.Client{Transport: &http.Transport{DisableCompression: true}}

// do sends a request to an entry, writes down both sides and returns the
// answer's body.
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

	resp, err := caller.Do(req)
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
	dateHeader = regexp.MustCompile(`(?m)^(. Date: ).*$`)
	issuedKey  = regexp.MustCompile(`\b[\w-]+\.[0-9a-f]+\.\d{13}\.[0-9a-f]+\b`)
	atServer   = regexp.MustCompile(`"reason":"orders-\d:`)
	requestID  = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	bodyLength = regexp.MustCompile(`(?m)^(. Content-Length: ).*$`)
)

// normal is the session with names in place of dates, ids and addresses.
func (s *session) normal() string {
	text := s.text.String()
	for _, p := range s.fleet.entries {
		text = strings.ReplaceAll(text, p.Instance.CallerAddr.String(), "<address of "+string(p.Instance.ID)+">")
	}
	text = dateHeader.ReplaceAllString(text, "$1<date>")
	text = bodyLength.ReplaceAllString(text, "$1<length>")
	text = issuedKey.ReplaceAllString(text, "<key>")
	text = atServer.ReplaceAllString(text, `"reason":"<server>:`)
	return requestID.ReplaceAllString(text, "<id>")
}

// expectGolden compares a session with the one in testdata.
func (s *session) expectGolden(name string) {
	GinkgoHelper()
	got := []byte(s.normal())
	file := filepath.Join("testdata", name+".golden")
	if *update {
		Expect(os.WriteFile(file, got, 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(bytes.TrimSpace(got))).To(Equal(string(bytes.TrimSpace(want))))
}
