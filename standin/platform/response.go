package platform

import (
	"net/http"
	"strconv"
	"time"
)

// writeTooManyRequests responds with 429 and a Retry-After header in whole seconds,
// rounded up.
func writeTooManyRequests(w http.ResponseWriter, retryAfter time.Duration) {
	seconds := int((retryAfter + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	http.Error(w, "too many requests", http.StatusTooManyRequests)
}

// writeBody returns the number of bytes that the network accepted. Fewer than
// all means that the client has disconnected, which is not a failure of the
// service.
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
