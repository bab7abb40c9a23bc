package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/failure"
)

var _ = Describe("A response with a silence longer than the deadline", func() {
	// pausing serves a response that is interrupted after n bytes until resume is closed.
	pausing := func(n int, resume chan struct{}) *server {
		return serve(func(c net.Conn, _ *http.Request, _ int) bool {
			write(c, chunkedResponse[:n])
			<-resume
			write(c, chunkedResponse[n:])
			return true
		})
	}
	short := func() time.Time { return time.Now().Add(10 * time.Millisecond) }
	// untilSent repeats an attempt of which nothing was sent, since its deadline had passed
	// before the connection was made.
	untilSent := func(attempt func() (*exchange.Response, error)) (*exchange.Response, error) {
		r, err := attempt()
		for errorx.IsOfType(err, failure.Timeout) && failure.OutcomeOf(err) == failure.NotRun {
			r, err = attempt()
		}
		return r, err
	}
	// send sends a request on a connection of its own until it was sent with a short deadline.
	send := func(s *server, onSilence exchange.OnSilence) (*exchange.Response, error) {
		return untilSent(func() (*exchange.Response, error) {
			return exchange.New().DoExtendable(context.Background(), s.addr(), newRequest, short(), onSilence)
		})
	}

	// Guards against a part of a response that is lost by the error of an expired deadline,
	// which the readers of net/http keep.
	It("is read whole, after whichever byte the silence begins, while the deadline is extended", func() {
		for n := range len(chunkedResponse) {
			resume := make(chan struct{})
			s := pausing(n, resume)
			asked := 0
			onSilence := func(time.Time) (time.Time, bool) {
				if asked++; asked == 2 {
					close(resume)
				}
				return short(), true
			}
			r, err := send(s, onSilence)
			Expect(err).NotTo(HaveOccurred())
			r.SetDeadline(short())
			Expect(io.ReadAll(r.Body)).To(BeEquivalentTo("hi"), "silence after %d bytes", n)
			Expect(asked).To(BeNumerically(">=", 2))
			r.Close(true, 0)
		}
	})

	DescribeTable("fails with a timeout if the deadline is not extended",
		func(until time.Duration, wait bool) {
			resume := make(chan struct{})
			defer close(resume)
			_, err := send(pausing(0, resume),
				func(now time.Time) (time.Time, bool) { return now.Add(until), wait })
			Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		},
		Entry("the wait ends", time.Hour, false),
		Entry("the new deadline has passed", -time.Second, true),
	)

	// Guards against a response that is read on after its exchange was given up inside its header:
	// net/http drops the error of a line that is cut off.
	It("is not asked for again once the wait has ended, after whichever byte of the header", func() {
		for n := range len(chunkedResponse) - len("0\r\n\r\n") {
			resume := make(chan struct{})
			asked := 0
			r, err := send(pausing(n, resume),
				func(time.Time) (time.Time, bool) { asked++; return time.Time{}, false })
			if err == nil {
				_, err = io.ReadAll(r.Body)
			}
			Expect(err).To(HaveOccurred(), "silence after %d bytes", n)
			Expect(asked).To(Equal(1), "silence after %d bytes", n)
			close(resume)
		}
	})

	// Guards against a broken connection that counts as a silence since the first deadline
	// has passed.
	It("is broken, not late, if its server closes the connection before an extended deadline", func() {
		closing := make(chan struct{})
		s := serve(func(net.Conn, *http.Request, int) bool { <-closing; return false })
		_, err := send(s, func(time.Time) (time.Time, bool) { close(closing); return waitDeadline(), true })
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeFalse(), "%v", err)
	})

	// Guards against a deadline that the next request on the connection leaves to the last one.
	It("does not extend the deadlines of later exchanges on the connection", func() {
		resume := make(chan struct{})
		defer close(resume)
		s := serve(func(c net.Conn, _ *http.Request, n int) bool {
			if n > 0 {
				<-resume
			}
			write(c, okResponse)
			return true
		})
		p := exchange.New()
		r, err := p.DoExtendable(context.Background(), s.addr(), newRequest, waitDeadline(),
			func(time.Time) (time.Time, bool) { return waitDeadline(), true })
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(r.Body)).To(BeEquivalentTo("hi"))
		r.Close(true, 0)
		_, err = untilSent(func() (*exchange.Response, error) {
			return p.Do(context.Background(), s.addr(), newRequest, short())
		})
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
		Expect(s.connections.Load()).To(Equal(int64(1)))
	})
})
