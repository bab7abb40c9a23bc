// Lateextra shows what becomes of bytes that a faulty server sends late, at the point where
// the next answer is expected, and that have the form of an answer without a request ID.
package main

import (
	"fmt"

	"chivespindle.example/review2/internal/rig"
)

const (
	requests = 400
	// every is the distance between two late extra answers of the faulty server: 2 in 100.
	every = 50
	// notRun and success are the late bytes, by turns.
	notRun  = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	success = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\nleft over"
)

func main() {
	r := rig.New()
	entry := r.Entry(1)
	servers := []*rig.Plain{r.NewPlain("w-1", "workshop-api", rig.Loopback(101)), r.NewPlain("w-2", "workshop-api", rig.Loopback(102))}
	r.Config(1, rig.Route("parts-lookup", "/parts/", "unsafe", "workshop-api", 2))
	if r.Trouble {
		turn := 0
		servers[0].BeforeAnswer = func(n int) string {
			if n%every != 0 {
				return ""
			}
			if turn++; turn%2 == 1 {
				return notRun
			}
			return success
		}
	}
	r.AwaitReady(entry)
	foreign, promised := 0, 0
	answers := make(map[string]rig.Answer, requests)
	for n := range requests {
		id := fmt.Sprintf("req-%04d", n)
		answers[id] = r.Do(entry, rig.Call{Method: "POST", Host: "jobs.example", Path: "/parts/7", ID: id, Body: "part " + id, DeadlineMS: 3000})
	}
	runs := make(map[string]int)
	for _, s := range servers {
		for id, n := range s.Runs() {
			runs[id] += n
		}
		total, late := s.Counts()
		r.Note("%s ran %d requests and sent %d late extra answers", s.ID, total, late)
	}
	twice := 0
	for id, answer := range answers {
		if runs[id] > 1 {
			twice++
			r.Note("TWICE: %s ran %d times", id, runs[id])
		}
		if answer.Status == 200 && (answer.Stamp == "" || answer.Body != "done "+id+" part "+id) {
			foreign++
			r.Note("MIXED: %s got 200 with stamp %q and body %q", id, answer.Stamp, answer.Body)
		}
		if answer.Status == 503 && runs[id] > 0 {
			promised++
			r.Note("REFUSED: %s got 503 and ran", id)
		}
	}
	ok := 0
	for _, answer := range answers {
		if answer.Status == 200 {
			ok++
		}
	}
	r.Note("of %d requests %d got 200; twice %d, foreign %d, promised %d", requests, ok, twice, foreign, promised)
	switch {
	case twice+foreign+promised > 0:
		r.End(rig.Broken)
	case ok < requests*9/10:
		r.End(rig.CouldNot)
	default:
		r.End(rig.Held)
	}
}
