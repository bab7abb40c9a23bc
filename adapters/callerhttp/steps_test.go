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

// Steps of a dispatcher, one letter each; the last one ends the request.
const (
	begin, beginEmpty, beginInterim = 'b', 'n', 'i'
	piece, emptyPiece               = 'p', 'e'
	succeed, fail, abort            = '.', '!', '^'
)

// play is a dispatcher that takes the steps of the request's body and ignores failures.
func play(_ context.Context, r calls.Request, sink calls.Sink) (calls.Completion, error) {
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
			return calls.Completion{}, callerhttptest.Failed(calls.Interrupted, failure.Unknown, 0)
		case abort:
			panic(http.ErrAbortHandler)
		}
	}
	return calls.Completion{}, nil
}

// What a caller can make of the bytes that it got.
const (
	whole   = "whole"
	refused = "refused"
	cut     = "cut"
	unclear = "complete by its framing, and neither whole nor refused"
)

func readAs(got []byte) (kind, body string) {
	in := bufio.NewReader(bytes.NewReader(got))
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return cut, ""
	}
	content, err := io.ReadAll(response.Body)
	outcome := response.Header.Get(callerhttp.HeaderOutcome)
	isRefusal := json.Unmarshal(content, &callerhttp.Refusal{}) == nil && response.StatusCode >= http.StatusBadRequest
	switch {
	case err != nil:
		return cut, string(content)
	case in.Buffered() > 0:
		return "followed by other bytes", string(content)
	case outcome == "" && response.Trailer.Get(callerhttp.HeaderOutcome) == failure.Ran.String(),
		outcome == failure.Ran.String() && callerhttp.Bodyless(response.StatusCode):
		return whole, string(content)
	case outcome == failure.Unknown.String() && isRefusal:
		return refused, ""
	}
	return unclear, string(content)
}

func exchangeBytes(addr netip.AddrPort, request string) []byte {
	GinkgoHelper()
	conn, err := net.Dial("tcp", addr.String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(callerhttptest.Patience))).To(Succeed())
	_, err = io.WriteString(conn, request)
	Expect(err).NotTo(HaveOccurred())
	got, err := io.ReadAll(conn)
	Expect(err).NotTo(HaveOccurred())
	return got
}

// scripts returns all sequences of up to length steps, each with each of the ends.
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
	inOrder    = regexp.MustCompile(`^(b[pe]*|ne*)\.$`)
	neverBegan = regexp.MustCompile(`^([^bn].*)?[.!]$`)
)

// Guards against an answer that looks complete and is not, whatever a dispatcher does.
var _ = It("An answer is complete only after all of its steps in order", func() {
	addr := callerhttptest.Serve(play, pages(nil))
	for _, script := range scripts(3) {
		kind, body := readAs(exchangeBytes(addr, post(service, script)))
		switch {
		case inOrder.MatchString(script):
			Expect(kind).To(Equal(whole), script)
			Expect(body).To(Equal(strings.Repeat("p", strings.Count(script, "p"))), script)
		case neverBegan.MatchString(script):
			Expect(kind).To(Equal(refused), script)
		default:
			Expect(kind).To(Equal(cut), script)
		}
	}
})

// Guards against cut answers that operators cannot tell from refusals.
var _ = It("Answers that were cut are counted apart from refusals", func() {
	metrics := tally.NewTestScope("", nil)
	addr := callerhttptest.ServeWith(play, pages(nil), metrics, zap.NewNop())
	for _, script := range []string{"bp.", "bp!", "!", "bpb.", "bp^", "^"} {
		exchangeBytes(addr, post(service, script))
	}
	Expect(metrics.Snapshot().Counters()["answers_cut+"].Value()).To(BeEquivalentTo(3))
})

// Guards against an answer that was cut by a fault of our own, with nothing in the log.
var _ = It("A panic that cuts an answer is logged", func() {
	core, logged := observer.New(zap.WarnLevel)
	addr := callerhttptest.ServeWith(func(_ context.Context, _ calls.Request, sink calls.Sink) (calls.Completion, error) {
		Expect(sink.Begin(calls.ResponseHeader{Status: http.StatusOK})).To(Succeed())
		Expect(sink.Piece([]byte("p"))).To(Succeed())
		panic("for the test")
	}, pages(nil), tally.NoopScope, zap.New(core))
	kind, body := readAs(exchangeBytes(addr, post(service, "")))
	Expect([]string{kind, body}).To(Equal([]string{cut, "p"}))
	Expect(logged.All()).To(ConsistOf(HaveField("Message", ContainSubstring("for the test"))))
})
