package callerhttp_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/adapters/callerhttp/callerhttptest"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
)

// Steps of a dispatcher, one letter each; the last step ends the request.
const (
	begin, beginEmpty, beginInterim = 'b', 'n', 'i'
	piece, emptyPiece               = 'p', 'e'
	succeed, fail, abort            = '.', '!', '^'
)

// playScript is a dispatcher that executes the steps in the request body and ignores
// errors.
func playScript(_ context.Context, r calls.Request, sink calls.Sink) (calls.Completion, error) {
	for _, step := range r.Body {
		switch step {
		case begin:
			_ = sink.Begin(calls.ResponseHeader{Status: http.StatusOK})
		case beginEmpty:
			_ = sink.Begin(calls.ResponseHeader{Status: http.StatusNoContent})
		case beginInterim:
			_ = sink.Begin(calls.ResponseHeader{Status: http.StatusEarlyHints})
		case piece:
			_ = sink.Piece([]byte("p"))
		case emptyPiece:
			_ = sink.Piece(nil)
		case fail:
			return calls.Completion{}, callerhttptest.NewError(calls.Interrupted, failure.Unknown, 0)
		case abort:
			panic(http.ErrAbortHandler)
		}
	}
	return calls.Completion{}, nil
}

// How a caller interprets the bytes that it received.
const (
	complete = "complete response"
	refused  = "error response"
	aborted  = "aborted"
	unclear  = "complete by its framing, and neither a complete response nor an error response"
)

func classify(got []byte) (kind, body string) {
	in := bufio.NewReader(bytes.NewReader(got))
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return aborted, ""
	}
	content, err := io.ReadAll(response.Body)
	outcome := response.Header.Get(callerhttp.HeaderOutcome)
	isErrorResponse := json.Unmarshal(content, &callerhttp.ErrorResponse{}) == nil && response.StatusCode >= http.StatusBadRequest
	switch {
	case err != nil:
		return aborted, string(content)
	case in.Buffered() > 0:
		return "followed by other bytes", string(content)
	case outcome == "" && response.Trailer.Get(callerhttp.HeaderOutcome) == failure.Ran.String(),
		outcome == failure.Ran.String() && callerhttp.Bodyless(response.StatusCode):
		return complete, string(content)
	case outcome == failure.Unknown.String() && isErrorResponse:
		return refused, ""
	}
	return unclear, string(content)
}

func exchangeBytes(addr netip.AddrPort, request string) []byte {
	GinkgoHelper()
	conn, err := net.Dial("tcp", addr.String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(callerhttptest.WaitTimeout))).To(Succeed())
	_, err = io.WriteString(conn, request)
	Expect(err).NotTo(HaveOccurred())
	got, err := io.ReadAll(conn)
	Expect(err).NotTo(HaveOccurred())
	return got
}

// scripts returns all sequences of up to length steps, each followed by each of the
// endings.
func scripts(length int) []string {
	sequences := []string{""}
	for first := 0; length > 0; length-- {
		last := len(sequences)
		for _, before := range sequences[first:last] {
			for _, step := range []rune{begin, beginEmpty, beginInterim, piece, emptyPiece} {
				sequences = append(sequences, before+string(step))
			}
		}
		first = last
	}
	var all []string
	for _, sequence := range sequences {
		for _, end := range []rune{succeed, fail, abort} {
			all = append(all, sequence+string(end))
		}
	}
	return all
}

var (
	inOrder      = regexp.MustCompile(`^(b[pe]*|ne*)\.$`)
	neverStarted = regexp.MustCompile(`^([^bn].*)?[.!]$`)
)

// Guards against an incomplete response that looks complete, whatever the
// dispatcher does.
var _ = It("A response is complete only after all of its steps in order", func() {
	addr := callerhttptest.Serve(playScript, testBook(nil))
	for _, script := range scripts(3) {
		kind, body := classify(exchangeBytes(addr, post(service, script)))
		switch {
		case inOrder.MatchString(script):
			Expect(kind).To(Equal(complete), script)
			Expect(body).To(Equal(strings.Repeat("p", strings.Count(script, "p"))), script)
		case neverStarted.MatchString(script):
			Expect(kind).To(Equal(refused), script)
		default:
			Expect(kind).To(Equal(aborted), script)
		}
	}
})

// Guards against aborted responses that operators cannot distinguish from error
// responses.
var _ = It("Aborted responses are counted separately from error responses", func() {
	metrics := tally.NewTestScope("", nil)
	addr := callerhttptest.ServeWith(playScript, testBook(nil), metrics, zap.NewNop())
	for _, script := range []string{"bp.", "bp!", "!", "bpb.", "bp^", "^"} {
		exchangeBytes(addr, post(service, script))
	}
	Expect(metrics.Snapshot().Counters()["answers_cut+"].Value()).To(BeEquivalentTo(3))
})

// Guards against a panic of this process that aborts a response without a log
// entry.
var _ = It("A panic that aborts a response is logged", func() {
	core, logged := observer.New(zap.WarnLevel)
	addr := callerhttptest.ServeWith(func(_ context.Context, _ calls.Request, sink calls.Sink) (calls.Completion, error) {
		Expect(sink.Begin(calls.ResponseHeader{Status: http.StatusOK})).To(Succeed())
		Expect(sink.Piece([]byte("p"))).To(Succeed())
		panic("for the test")
	}, testBook(nil), tally.NoopScope, zap.New(core))
	kind, body := classify(exchangeBytes(addr, post(service, "")))
	Expect([]string{kind, body}).To(Equal([]string{aborted, "p"}))
	Expect(logged.All()).To(ConsistOf(HaveField("Message", ContainSubstring("for the test"))))
})
