package platform_test

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/platform"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/weights"
	standin "chivespindle.example/standin/platform"
)

// service is a stand-in with outages that a spec can cause.
type service interface {
	http.Handler
	SetDown(down bool)
	SetUnresponsive(silent bool)
}

// contractCall is one method of a port. All commonFaults apply to each of them.
type contractCall struct {
	name    string
	service func() service
	// call calls the method; timeout ends the call if no response arrives.
	call func(ctx context.Context, url string, timeout time.Duration) error
}

var contractCalls = []contractCall{
	{
		name:    "revision.Source.Read",
		service: func() service { return standin.NewConfigService(standin.ConfigOptions{}) },
		call: func(ctx context.Context, url string, timeout time.Duration) error {
			var source revision.Source = configSource(platform.ConfigOptions{BaseURL: url, Timeout: timeout})
			_, err := source.Read(ctx)
			return err
		},
	},
	{
		name:    "revision.Source.Watch",
		service: func() service { return standin.NewConfigService(standin.ConfigOptions{}) },
		call: func(ctx context.Context, url string, timeout time.Duration) error {
			var source revision.Source = configSource(platform.ConfigOptions{
				BaseURL: url, Wait: shortWait, Margin: timeout,
			})
			_, err := source.Watch(ctx, 0)
			return err
		},
	},
	{
		name:    "gossip.InstanceList.Instances",
		service: func() service { return standin.NewInstanceList(standin.InstanceListOptions{}) },
		call: func(ctx context.Context, url string, timeout time.Duration) error {
			var list gossip.InstanceList = instanceList(platform.InstanceListOptions{
				BaseURL: url, Timeout: timeout,
			})
			_, err := list.Instances(ctx)
			return err
		},
	},
	{
		name:    "weights.Source.Manifest",
		service: func() service { return serverWith(standin.WeightOptions{}, model(10, 10)) },
		call: func(ctx context.Context, url string, timeout time.Duration) error {
			var source weights.Source = weightSource(platform.WeightOptions{BaseURL: url, StallTimeout: timeout})
			_, err := source.Manifest(ctx, model(10, 10).Version.Manifest)
			return err
		},
	},
	{
		name:    "weights.Source.Chunk",
		service: func() service { return serverWith(standin.WeightOptions{}, model(10, 10)) },
		call: func(ctx context.Context, url string, timeout time.Duration) error {
			fixture := model(10, 10)
			var source weights.Source = weightSource(platform.WeightOptions{BaseURL: url, StallTimeout: timeout})
			_, err := source.Chunk(ctx, fixture.Version.Manifest, fixture.Manifest.Chunks[0])
			return err
		},
	},
}

// commonFault is a state of a service that every port reports in the same way.
type commonFault struct {
	name       string
	serve      func(s service) string // returns the base URL
	timesOut   bool                   // the call is expected to time out
	want       *errorx.Type           // nil: the call succeeds
	retryAfter time.Duration          // RetryAfter of the failure
}

var commonFaults = []commonFault{
	{
		name:  "succeeds with a healthy service",
		serve: func(s service) string { return serve(s) },
	},
	{
		name: "fails as Unavailable while the service is down",
		serve: func(s service) string {
			s.SetDown(true)
			return serve(s)
		},
		want: failure.Unavailable,
	},
	{
		name: "succeeds once the service is up again",
		serve: func(s service) string {
			s.SetDown(true)
			s.SetDown(false)
			return serve(s)
		},
	},
	{
		name: "fails as Timeout when the service accepts the call and never responds",
		serve: func(s service) string {
			s.SetUnresponsive(true)
			return serve(s)
		},
		timesOut: true,
		want:     failure.Timeout,
	},
	{
		name:  "fails as Unavailable when nothing listens",
		serve: func(service) string { return unusedURL() },
		want:  failure.Unavailable,
	},
	{
		name: "fails as Unavailable when the connection breaks before the response",
		serve: func(service) string {
			return serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				panic(http.ErrAbortHandler)
			}))
		},
		want: failure.Unavailable,
	},
	{
		name:       "fails as RateLimited with the Retry-After of the service",
		serve:      func(service) string { return serve(respondWith(http.StatusTooManyRequests, "Retry-After", "7")) },
		want:       failure.RateLimited,
		retryAfter: 7 * time.Second,
	},
	{
		name:       "fails as RateLimited with a default delay when the service sends no Retry-After",
		serve:      func(service) string { return serve(respondWith(http.StatusTooManyRequests, "", "")) },
		want:       failure.RateLimited,
		retryAfter: time.Second,
	},
	{
		name:       "keeps the Retry-After of a service that is down",
		serve:      func(service) string { return serve(respondWith(http.StatusServiceUnavailable, "Retry-After", "3")) },
		want:       failure.Unavailable,
		retryAfter: 3 * time.Second,
	},
	{
		name:  "fails as Unavailable on a gateway's error",
		serve: func(service) string { return serve(respondWith(http.StatusBadGateway, "", "")) },
		want:  failure.Unavailable,
	},
	{
		name:  "fails as NotFound on 404",
		serve: func(service) string { return serve(http.NotFoundHandler()) },
		want:  failure.NotFound,
	},
	{
		name:  "fails as Refused on another client error",
		serve: func(service) string { return serve(respondWith(http.StatusForbidden, "", "")) },
		want:  failure.Refused,
	},
	{
		name: "follows no redirect",
		serve: func(s service) string {
			return serve(respondWith(http.StatusTemporaryRedirect, "Location", serve(s)))
		},
		want: failure.Refused,
	},
}

// respondWith returns a handler with one status and at most one header.
func respondWith(status int, header, value string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(header, value)
		}
		w.WriteHeader(status)
	})
}

var _ = Describe("the contract of the platform ports", func() {
	for _, port := range contractCalls {
		Describe(port.name, func() {
			for _, fault := range commonFaults {
				It(fault.name, SpecTimeout(longWait/2), func(ctx SpecContext) {
					timeout := longWait
					if fault.timesOut {
						timeout = shortStall
					}
					err := port.call(ctx, fault.serve(port.service()), timeout)
					if fault.want == nil {
						Expect(err).NotTo(HaveOccurred())
						return
					}
					Expect(err).To(beOfType(fault.want))
					Expect(failure.RetryAfter(err)).To(Equal(fault.retryAfter))
				})
			}

			It("fails as Canceled when its caller cancels", func() {
				unresponsive := port.service()
				unresponsive.SetUnresponsive(true)
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				err := port.call(ctx, serve(unresponsive), longWait)
				Expect(err).To(beOfType(platform.Canceled))
			})

			It("fails as Timeout when its caller's deadline passes", func() {
				unresponsive := port.service()
				unresponsive.SetUnresponsive(true)
				ctx, cancel := context.WithDeadline(context.Background(), time.Now())
				defer cancel()
				Expect(port.call(ctx, serve(unresponsive), longWait)).To(beOfType(failure.Timeout))
			})
		})
	}
})

var _ = DescribeTable("a base URL that is rejected",
	func(url, reason string) {
		_, err := platform.NewConfigSource(platform.ConfigOptions{BaseURL: url})
		Expect(err).To(beOfType(failure.Invalid))
		Expect(err).To(MatchError(ContainSubstring(reason)))
		_, err = platform.NewInstanceList(platform.InstanceListOptions{BaseURL: url})
		Expect(err).To(beOfType(failure.Invalid))
		_, err = platform.NewWeightSource(platform.WeightOptions{BaseURL: url})
		Expect(err).To(beOfType(failure.Invalid))
	},
	Entry("empty", "", "must start with http:// or https://"),
	Entry("without a scheme", "127.0.0.1:80", "base URL"),
	Entry("of another scheme", "ftp://127.0.0.1", "must start with http:// or https://"),
	Entry("with a host name", "http://localhost:80", "must name its host by IP number"),
	Entry("with a query", "http://127.0.0.1:80/?a=b", "must have no query"),
)
