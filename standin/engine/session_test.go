package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/standin/engine"
)

// goldenSession is rewritten if the environment has UPDATE_GOLDEN=1.
const goldenSession = "testdata/session.golden"

// step is one request of the session.
type step struct {
	method, path, body string
}

var (
	bootID     = regexp.MustCompile(`"boot":"[^"]*"`) // differs in each run
	binaryByte = regexp.MustCompile(`[^\x20-\x7e\n]`)
)

var _ = Describe("the protocol of the engine", func() {
	// Compares the session of docs/PLATFORM-ENGINE.md byte for byte, so that
	// any change of the protocol is detected here.
	It("matches the golden session", func(ctx SpecContext) {
		e, _ := start(engine.Options{Slots: 2, CheckFence: true})
		r := newRelease("v1")
		staging := "/v1/staging/" + r.version.Manifest.String()
		order := fmt.Sprintf(`{"fence":7,"version":{"name":"v1","manifest":"%s"},"role":"decode"}`, r.version.Manifest)
		prompt := `{"prompt":"fault 17","max_tokens":3}`
		steps := []step{
			{"GET", "/v1/status", ""},
			{"POST", "/v1/generate", prompt},
			{"PUT", staging + "/manifest", string(r.manifest)},
			{"PUT", staging + "/chunks/0", string(r.chunks[0])},
			{"PUT", staging + "/chunks/2", string(r.chunks[2])},
			{"GET", staging, ""},
			{"POST", "/v1/orders", order},
			{"PUT", staging + "/chunks/1", string(r.chunks[1])},
			{"PUT", staging + "/chunks/3", string(r.chunks[3])},
			{"POST", "/v1/orders", order},
			{"POST", "/v1/orders", `{"fence":6,"role":"prefill"}`},
			{"GET", "/v1/status", ""},
			{"POST", "/v1/generate", prompt},
			{"POST", "/v1/generate", `{"prompt":"fault 17"}`},
			{"GET", staging + "/chunks/1", ""},
			{"DELETE", staging, ""},
			{"GET", staging + "/chunks/1", ""},
			{"GET", staging, ""},
		}
		var session strings.Builder
		for _, s := range steps {
			record(ctx, &session, e.URL(), s)
		}
		if os.Getenv("UPDATE_GOLDEN") != "" {
			Expect(os.WriteFile(goldenSession, []byte(session.String()), 0o644)).To(Succeed())
		}
		golden, err := os.ReadFile(goldenSession)
		Expect(err).NotTo(HaveOccurred())
		Expect(session.String()).To(Equal(string(golden)))
	})
})

// record sends the request of s and writes the request and its response to
// session.
func record(ctx SpecContext, session io.Writer, base string, s step) {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(ctx, s.method, base+s.path, strings.NewReader(s.body))
	Expect(err).NotTo(HaveOccurred())
	fmt.Fprintf(session, "> %s %s\n", s.method, s.path)
	if s.path == "/v1/generate" {
		for _, header := range [][2]string{{"Request-Id", "a1"}, {"Idempotency-Key", "k1"}, {"Priority", "u=2"}} {
			request.Header.Set(header[0], header[1])
			fmt.Fprintf(session, "> %s: %s\n", header[0], header[1])
		}
	}
	writeBody(session, ">", s.body)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	fmt.Fprintf(session, "< %d\n", response.StatusCode)
	for _, header := range []string{"Content-Type", "Request-Outcome"} {
		if value := response.Header.Get(header); value != "" {
			fmt.Fprintf(session, "< %s: %s\n", header, value)
		}
	}
	writeBody(session, "<", string(body))
	fmt.Fprintln(session)
}

func writeBody(session io.Writer, mark, body string) {
	body = bootID.ReplaceAllString(body, `"boot":"(a new name)"`)
	if binaryByte.MatchString(body) {
		body = fmt.Sprintf("(%d bytes)", len(body))
	}
	for _, line := range strings.Split(strings.TrimSuffix(body, "\n"), "\n") {
		if line != "" {
			fmt.Fprintf(session, "%s   %s\n", mark, line)
		}
	}
}
