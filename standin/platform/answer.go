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

// writeBody returns how many bytes the network took. Fewer than all means that
// the client has left, which is no failure of the service.
func writeBody(w http.ResponseWriter, body []byte) uint64 {
	n, _ := w.Write(body)
	return uint64(n)
}

func clockOrDefault(now func() time.Time) func() time.Time {
	if now == nil {
		return time.Now
	}
	return now
}
