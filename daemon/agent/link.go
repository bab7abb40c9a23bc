package agent

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// RateLimit is the limit of weight traffic in one direction.
type RateLimit interface {
	SetLimit(newLimit rate.Limit)
}

// shareEvery is the time between two looks at live traffic.
const shareEvery = 250 * time.Millisecond

// trafficBytes counts live bytes since the start, both ways.
type trafficBytes struct {
	up, down atomic.Int64
}

// shareLink sets what weights may use of the link in each direction.
func (a *Agent) shareLink(now time.Time) {
	if a.opts.UpLimit == nil || now.Before(a.nextRate) {
		return
	}
	a.nextRate = now.Add(shareEvery)
	running := int(a.work.count())
	setRate(a.opts.UpLimit, a.upShare.Update(now, running, a.traffic.up.Load()))
	setRate(a.opts.DownLimit, a.dnShare.Update(now, running, a.traffic.down.Load()))
}

func setRate(limit RateLimit, bytesPerSecond int64) {
	if bytesPerSecond == 0 {
		limit.SetLimit(rate.Inf)
		return
	}
	limit.SetLimit(rate.Limit(bytesPerSecond))
}
