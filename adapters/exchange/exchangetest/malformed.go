package exchangetest

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/core/failure"
)

// Sound returns a response with a body. lines are further lines of its head.
func Sound(lines, body string) Response {
	return Response{Name: "sound", Begin: fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", lines, len(body), body)}
}

// invalidStatuses are status codes that HTTP does not allow, 101 without an upgrade.
var invalidStatuses = []string{"000", "001", "099", "+12", "-00", "101", "600", "999"}

// invalidNames are names of fields that HTTP does not allow. net/http accepts those with a space.
var invalidNames = []string{"X Y", "X ", "X\t", "X\tY", "X\x00Y", "X\x1b", "X\x7f", "X\r", "\rX", "\r", "X(1)", "X\xe9", ""}

// Malformed returns responses like that of Sound whose head HTTP does not allow. net/http accepts
// most of them.
func Malformed(lines, body string) []Response {
	sound := Sound(lines, body).Begin
	var all []Response
	for _, status := range invalidStatuses {
		// The body is a sound response, which a reader that skips the head would accept.
		begin := fmt.Sprintf("HTTP/1.1 %s Trouble\r\nContent-Length: %d\r\n\r\n%s", status, len(sound), sound)
		all = append(all, Response{Name: "status " + status, Begin: begin})
	}
	all = append(all,
		Response{Name: "status 000 after an interim response", Begin: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Trouble\r\n\r\n" + sound},
		Response{Name: "another major version", Begin: "HTTP/2.0" + strings.TrimPrefix(sound, "HTTP/1.1")},
	)
	status, rest, _ := strings.Cut(sound, "\r\n")
	for _, name := range invalidNames {
		all = append(all, Response{Name: fmt.Sprintf("name %q", name), Begin: status + "\r\n" + name + ": 1\r\n" + rest})
	}
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	return append(all,
		Response{Name: "invalid name in an interim response", Begin: "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + sound},
		Response{Name: "line without a name", Begin: status + "\r\nX\r\n" + rest},
		Response{Name: "blank before the colon of the framing", Begin: fmt.Sprintf(
			"%s\r\n%sTransfer-Encoding : chunked\r\nContent-Length: %d\r\n\r\n%s", status, lines, len(chunks), chunks)},
		Response{Name: "chunks, which HTTP/1.0 does not support", Begin: fmt.Sprintf(
			"HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%s", lines, chunks)},
		Response{Name: "chunks beside a length in HTTP/1.0", Begin: fmt.Sprintf(
			"HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n%s", lines, len(chunks), chunks)},
	)
}

// ExpectRejected expects that a call succeeds with a sound response, and fails because of each
// malformed one like it before its deadline and closes the connection. lines are further lines
// of the head.
func ExpectRejected(call func(context.Context, netip.AddrPort) error, lines, body string) {
	ginkgo.GinkgoHelper()
	const timeout = 20 * time.Second // of a call that waits for more
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	gomega.Expect(call(ctx, Serve(Sound(lines, body)).Addr)).To(gomega.Succeed())
	for _, response := range Malformed(lines, body) {
		ginkgo.By(response.Name)
		s := Serve(response)
		err := call(ctx, s.Addr)
		gomega.Expect(err).To(gomega.HaveOccurred(), response.Name)
		gomega.Expect(errorx.IsOfType(err, failure.Timeout)).To(gomega.BeFalse(), "%s: %v", response.Name, err)
		gomega.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), response.Name)
		gomega.Eventually(s.Closed, timeout).Should(gomega.Receive(), response.Name)
		gomega.Expect(s.Requests.Load()).To(gomega.BeEquivalentTo(1), "%s: requests", response.Name)
	}
}
