package platform

import (
	"net/http"
	"strconv"
	"time"
)

// refuseRate answers 429 and tells the client how long to pause, in whole
// seconds rounded up.
func refuseRate(w http.ResponseWriter, pause time.Duration) {
	seconds := int((pause + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	http.Error(w, "too many requests", http.StatusTooManyRequests)
}

func clockOrDefault(now func() time.Time) func() time.Time {
	if now == nil {
		return time.Now
	}
	return now
}
