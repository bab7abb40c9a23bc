package requestlog

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// contextBefore and contextAfter bound the time around a request's lines
	// from which lines of its entry and of its servers are shown. The state on
	// which an entry decides is a few seconds old at most.
	contextBefore = 5 * time.Second
	contextAfter  = 500 * time.Millisecond
)

// Events of an entry that explain how it handled a request.
var entryEvents = []string{
	"started", "woke", "left", "stopped", "stop_requested", "platform_lost", "platform_regained", "config_in_force",
	"config_refused", "version_wanted", "lines_left_out", "servers_dropped",
	eventZoneEvacuated, eventZoneReleased, "evacuation_kept",
}

// Events of an agent that explain what happened to a request at its server.
var agentEvents = []string{
	"started", "woke", "stopped", "stop_requested", "engine_lost", "engine_regained", "engine_holds", "load_ordered",
	"server_leaving", "version_time_over", "outdated_work_ended",
}

// Report describes what happened to a request.
type Report struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	// Cause says in a few sentences why the request ended as it did.
	Cause string `json:"cause"`
}

// Step is one line of the report.
type Step struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Event    string    `json:"event"`
	Details  string    `json:"details"`
	// Own is true for lines of the request itself, and false for lines that its
	// entry and its servers' agents logged about themselves around that time.
	Own bool `json:"own"`
}

// Collector collects the lines that may belong to the report of one request.
type Collector struct {
	request       string
	server        string // given with SetServer, "" if none
	requestLines  []Line // of the request
	processLines  []Line // about processes, not about a request
	otherFailures []Line // failed attempts of other requests
}

// NewCollector returns a collector for one request.
func NewCollector(request string) *Collector { return &Collector{request: request} }

// Add adds a line.
func (l *Collector) Add(line Line) {
	switch request := line.Value(keyRequest); {
	case request == l.request:
		l.requestLines = append(l.requestLines, line)
	case request != "":
		if line.Event == "attempt_failed" {
			l.otherFailures = append(l.otherFailures, line)
		}
	default:
		l.processLines = append(l.processLines, line)
	}
}

// Report builds the report from the lines added.
func (l *Collector) Report() Report {
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(l.requestLines, byTime)
	slices.SortStableFunc(l.processLines, byTime)
	s := Report{Request: l.request, Cause: l.cause() + l.explainLeaving()}
	if len(l.requestLines) == 0 {
		return s
	}
	lines := slices.Concat(l.requestLines, l.surroundingLines())
	slices.SortStableFunc(lines, byTime)
	for _, line := range lines {
		s.Steps = append(s.Steps, Step{
			At: line.At, Instance: line.Instance, Event: line.Event, Details: line.Details(),
			Own: line.Value(keyRequest) == l.request,
		})
	}
	return s
}

// surroundingLines returns the lines that the entry and the agents of the
// servers that the request was sent to logged about themselves around the
// request.
func (l *Collector) surroundingLines() []Line {
	first, last := l.requestLines[0], l.requestLines[len(l.requestLines)-1]
	var servers []string
	for _, line := range l.requestLines {
		if line.Event == "attempt_failed" {
			servers = append(servers, l.agentAt(line.Value("addr")))
		}
	}
	var lines []Line
	for _, line := range l.processLines {
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

// agentAt returns the instance of the agent of the server at an address, or ""
// if the log does not have it.
func (l *Collector) agentAt(addr string) string {
	server, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	for _, line := range l.processLines {
		peer, err := netip.ParseAddrPort(line.Value("peer"))
		if line.Event == "started" && err == nil && peer.Addr() == server.Addr() {
			return line.Instance
		}
	}
	return ""
}

// lastProcessLine returns an instance's last line of an event up to a time, and
// whether there is one.
func (l *Collector) lastProcessLine(instance, event string, until time.Time) (Line, bool) {
	var found Line
	for _, line := range l.processLines {
		if line.Instance == instance && line.Event == event && !line.At.After(until) {
			found = line
		}
	}
	return found, found.Event != ""
}
