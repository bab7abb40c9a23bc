package requestlog

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// contextBefore and contextAfter are the time around a request's lines from
	// which lines of its entry and of its servers are shown: what an entry
	// believes is a few seconds old at most.
	contextBefore = 5 * time.Second
	contextAfter  = 500 * time.Millisecond
)

// Events of an entry that explain what it did with a request.
var entryEvents = []string{
	"started", "woke", "left", "stopped", "stop_requested", "platform_lost", "platform_regained", "config_in_force",
	"config_refused", "version_wanted", "lines_left_out", "servers_dropped",
}

// Events of an agent that explain what became of a request at its server.
var agentEvents = []string{
	"started", "woke", "stopped", "stop_requested", "engine_lost", "engine_regained", "engine_holds", "load_ordered",
	"server_leaving", "version_time_over", "outdated_work_ended",
}

// Story is what happened to a request.
type Story struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	// Cause is why it ended as it did, in a sentence or a few.
	Cause string `json:"cause"`
}

// Step is one line of the story.
type Step struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Event    string    `json:"event"`
	Details  string    `json:"details"`
	// Own is true for lines that name the request, false for what its entry and
	// its servers' agents tell of themselves around that time.
	Own bool `json:"own"`
}

// Log gathers the lines that may belong to a request's story.
type Log struct {
	request string
	server  string // that it reached, if that was given
	own     []Line // of the request
	beliefs []Line // what processes tell of themselves
	failed  []Line // failed attempts of other requests
}

// NewLog returns a log for one request.
func NewLog(request string) *Log { return &Log{request: request} }

// Take adds a line.
func (l *Log) Take(line Line) {
	switch request := line.Text(keyRequest); {
	case request == l.request:
		l.own = append(l.own, line)
	case request != "":
		if line.Event == "attempt_failed" {
			l.failed = append(l.failed, line)
		}
	default:
		l.beliefs = append(l.beliefs, line)
	}
}

// Story puts the story together from what was taken.
func (l *Log) Story() Story {
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(l.own, byTime)
	slices.SortStableFunc(l.beliefs, byTime)
	s := Story{Request: l.request, Cause: l.cause() + l.leaving()}
	if len(l.own) == 0 {
		return s
	}
	lines := slices.Concat(l.own, l.around())
	slices.SortStableFunc(lines, byTime)
	for _, line := range lines {
		s.Steps = append(s.Steps, Step{
			At: line.At, Instance: line.Instance, Event: line.Event, Details: line.Details(),
			Own: line.Text(keyRequest) == l.request,
		})
	}
	return s
}

// around returns what the entry and the agents of the servers that it was sent
// to tell of themselves around the request.
func (l *Log) around() []Line {
	first, last := l.own[0], l.own[len(l.own)-1]
	var servers []string
	for _, line := range l.own {
		if line.Event == "attempt_failed" {
			servers = append(servers, l.agentAt(line.Text("addr")))
		}
	}
	var lines []Line
	for _, line := range l.beliefs {
		if line.At.Before(first.At.Add(-contextBefore)) || line.At.After(last.At.Add(contextAfter)) {
			continue
		}
		ofEntry := line.Instance == last.Instance && slices.Contains(entryEvents, line.Event)
		ofAgent := slices.Contains(servers, line.Instance) && slices.Contains(agentEvents, line.Event)
		if ofEntry || ofAgent {
			lines = append(lines, line)
		}
	}
	return lines
}

// agentAt returns the instance of the agent beside the server at an address,
// empty if the log does not tell.
func (l *Log) agentAt(addr string) string {
	server, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	for _, line := range l.beliefs {
		peer, err := netip.ParseAddrPort(line.Text("peer"))
		if line.Event == "started" && err == nil && peer.Addr() == server.Addr() {
			return line.Instance
		}
	}
	return ""
}

// lastBelief returns the entry's last line of an event up to a time, and
// whether there is one.
func (l *Log) lastBelief(instance, event string, until time.Time) (Line, bool) {
	var found Line
	for _, line := range l.beliefs {
		if line.Instance == instance && line.Event == event && !line.At.After(until) {
			found = line
		}
	}
	return found, found.Event != ""
}
