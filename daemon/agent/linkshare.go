package agent

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// RateLimiter limits the weight traffic in one direction.
type RateLimiter interface {
	SetLimit(newLimit rate.Limit)
}

// linkShareInterval is the time between two measurements of request traffic.
const linkShareInterval = 250 * time.Millisecond

// trafficBytes counts the bytes of requests (down) and responses (up) since the
// start.
type trafficBytes struct {
	up, down atomic.Int64
}

// updateLinkShares sets the share of the link that weights may use in each
// direction.
func (a *Agent) updateLinkShares(now time.Time) {
	if a.opts.UploadLimiter == nil || now.Before(a.nextShareUpdate) {
		return
	}
	a.nextShareUpdate = now.Add(linkShareInterval)
	running := int(a.inFlight.count())
	setRateLimit(a.opts.UploadLimiter, a.uploadShare.Update(now, running, a.traffic.up.Load()))
	setRateLimit(a.opts.DownloadLimiter, a.downloadShare.Update(now, running, a.traffic.down.Load()))
}

func setRateLimit(limit RateLimiter, bytesPerSecond int64) {
	if bytesPerSecond == 0 {
		limit.SetLimit(rate.Inf)
		return
	}
	limit.SetLimit(rate.Limit(bytesPerSecond))
}
