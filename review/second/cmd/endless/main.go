// Endless measures the memory of an entry while a part of the model servers send bytes without
// end, in an answer whose head has many fields.
package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chivespindle.example/review2/internal/rig"
)

const (
	engines = 27 // after scale_out, as on the standard days
	// troubled is the number of those in trouble: less than half.
	troubled  = 13
	perSecond = 120
	seconds   = 8
	// headBytes is below the entry's bound for a head, and bodyBytes below that for an event.
	headBytes = 63 << 10
	bodyBytes = 1000 << 10
)

func main() {
	r := rig.New()
	entry := r.Entry(1)
	head := longHead()
	for n := range engines {
		e := r.NewEngine(fmt.Sprintf("e-%02d", n), rig.Pool, rig.Loopback(101+n))
		if r.Trouble && n < troubled {
			e.Endless = func(w io.Writer, _ int, id string) bool {
				_, _ = fmt.Fprintf(w, "%sX-Request-Id: %s\r\n%s: 1\r\nContent-Type: text/event-stream\r\n\r\n", head, id, rig.VersionsHeader)
				_, _ = w.Write(make([]byte, bodyBytes)) // the rest of it does not come before the caller closes
				return true
			}
		}
	}
	r.Config(1, "", rig.StreamRoute())
	r.AwaitReady(entry)
	served, peak := drive(r, entry)
	r.Note("%d of %d requests served, the entry took up to %d MB of %d", served, perSecond*seconds, peak, rig.MemoryMB)
	switch {
	case r.HasEnded() || peak > rig.MemoryMB:
		r.End(rig.Broken)
	case served < perSecond*seconds/4:
		r.End(rig.CouldNot)
	default:
		r.End(rig.Held)
	}
}

// longHead returns the beginning of a head with many short fields.
func longHead() string {
	const firstName = 36 * 36 // three characters
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	for n := firstName; b.Len() < headBytes; n++ {
		b.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	return b.String()
}

// drive sends requests at a steady rate and returns how many were served and the largest
// memory of the entry.
func drive(r *rig.Rig, entry string) (served int64, peak int) {
	noted := false
	var wg sync.WaitGroup
	var whole atomic.Int64
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for n := range perSecond * seconds {
		<-ticker.C
		peak = max(peak, r.PeakMB())
		if isOver := peak > rig.MemoryMB || r.HasEnded(); isOver && !noted {
			noted = true
			r.Note("over the limit after %d requests", n)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			call := rig.Call{Method: "POST", Host: "relay.example", Path: "/read/1", ID: fmt.Sprintf("req-%04d", n), Body: "a fault log", DeadlineMS: 6000}
			if r.Do(entry, call).Status == 200 {
				whole.Add(1)
			}
		}()
	}
	wg.Wait()
	return whole.Load(), max(peak, r.PeakMB())
}
