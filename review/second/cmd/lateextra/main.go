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
	servers := []*rig.Plain{r.NewPlain("w-1", rig.Workshop, rig.Loopback(101)), r.NewPlain("w-2", rig.Workshop, rig.Loopback(102))}
	r.Config(1, rig.Route("parts-lookup", "/parts/", "unsafe", rig.Workshop, 2))
	if r.Trouble {
		servers[0].BeforeAnswer = lateBytes()
	}
	r.AwaitReady(entry)
	answers := make(map[string]rig.Answer, requests)
	for n := range requests {
		id := fmt.Sprintf("req-%04d", n)
		answers[id] = r.Do(entry, rig.Call{Method: "POST", Host: "jobs.example", Path: "/parts/7", ID: id, Body: "part " + id, DeadlineMS: 3000})
	}
	for _, s := range servers {
		total, late := s.Counts()
		r.Note("%s ran %d requests and sent late bytes %d times", s.ID, total, late)
	}
	broken, ok := judge(r, answers, rig.CountRuns(servers...))
	switch {
	case broken > 0:
		r.End(rig.Broken)
	case ok < requests*9/10:
		r.End(rig.CouldNot)
	default:
		r.End(rig.Held)
	}
}

// lateBytes returns what the faulty server sends before the answer to its n-th request.
func lateBytes() func(n int) string {
	turn := 0
	return func(n int) string {
		if n%every != 0 {
			return ""
		}
		if turn++; turn%2 == 1 {
			return notRun
		}
		return success
	}
}

// judge counts the broken rules and the requests that were served.
func judge(r *rig.Rig, answers map[string]rig.Answer, runs map[string]int) (broken, ok int) {
	for id, answer := range answers {
		isOwn := answer.Stamp != "" && answer.Body == "done "+id+" part "+id
		switch {
		case runs[id] > 1:
			broken++
			r.Note("TWICE: %s ran %d times", id, runs[id])
		case answer.Status == 200 && !isOwn:
			broken++
			r.Note("MIXED: %s got 200 with stamp %q and body %q", id, answer.Stamp, answer.Body)
		case answer.Status == 503 && runs[id] > 0:
			broken++
			r.Note("REFUSED: %s got 503 and ran", id)
		case answer.Status == 200:
			ok++
		}
	}
	r.Note("of %d unsafe requests %d were served, %d broke a rule", len(answers), ok, broken)
	return broken, ok
}
