package requestlog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxLateEntries bounds the entries that are listed as the last to learn that a
// server is leaving.
const maxLateEntries = 3

// adoptionGap is the longest time between the line of an adopted server list
// and the lines about the changes in it.
const adoptionGap = 5 * time.Millisecond

// notice is the line with which an entry reports that a server is leaving.
type notice struct {
	Line
	// previous is the adoption of the server list that the entry used until
	// then.
	previous Line
}

// SetServer names a server that the request reached, for requests whose own
// lines name none: of plain successes, only one in fifty is logged.
func (l *Collector) SetServer(server string) { l.server = server }

// explainLeaving describes which server lists the entries used, if the request
// reached a server that another entry knew to be leaving. It returns "" if none
// did.
func (l *Collector) explainLeaving() string {
	var parts []string
	for _, server := range l.reachedServers() {
		parts = append(parts, l.explainLeavingOf(server))
	}
	return strings.Join(parts, "")
}

// reachedServers returns the servers that the request is known to have been
// sent to.
func (l *Collector) reachedServers() []string {
	var servers []string
	if l.server != "" {
		servers = append(servers, l.server)
	}
	for _, line := range l.requestLines {
		for _, key := range []string{"server", "to"} {
			if s := line.Value(key); s != "" && !slices.Contains(servers, s) {
				servers = append(servers, s)
			}
		}
	}
	return servers
}

func (l *Collector) explainLeavingOf(server string) string {
	all := l.leaveNotices(server)
	if len(all) == 0 {
		return ""
	}
	first := all[0]
	text := fmt.Sprintf(" Server %s leaves: the first entry to know, %s, did at %s%s.",
		server, first.Instance, first.At.UTC().Format(stepTime), l.describeSource(first.Line))
	if len(l.requestLines) == 0 {
		slices.Reverse(all)
		for _, late := range all[:min(maxLateEntries, len(all)-1)] {
			text += " " + describeDelay(late, first.At)
		}
		return text
	}
	last := l.requestLines[len(l.requestLines)-1]
	arrived := last.At.Add(-last.Duration("age"))
	if !arrived.After(first.At) {
		return ""
	}
	for _, ownNotice := range all {
		if ownNotice.Instance != last.Instance {
			continue
		}
		if !ownNotice.At.After(arrived) {
			return ""
		}
		return text + " " + describeDelay(ownNotice, first.At)
	}
	list, known := l.lastProcessLine(last.Instance, eventServersAdopted, last.At)
	if !known {
		return ""
	}
	return text + fmt.Sprintf(" %s has no line of it, and went by %s.", last.Instance, describeServerList(list))
}

const (
	stepTime            = "15:04:05.000"
	eventServersAdopted = "servers_adopted"
	eventServerLeaves   = "server_leaves"
	eventServerRemoved  = "server_removed"
	unknownSource       = "a reading that no line tells of"
)

// leaveNotices returns, in order of time, when each entry first learned that a
// server is leaving.
func (l *Collector) leaveNotices(server string) []notice {
	seen := make(map[string]bool)
	var all []notice
	for _, line := range l.processLines {
		if line.Event != eventServerLeaves && line.Event != eventServerRemoved || line.Value("server") != server || seen[line.Instance] {
			continue
		}
		seen[line.Instance] = true
		previous, _ := l.lastProcessLine(line.Instance, eventServersAdopted, line.At.Add(-adoptionGap))
		all = append(all, notice{line, previous})
	}
	slices.SortStableFunc(all, func(a, b notice) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return all
}

// describeSource describes the server list from which an entry learned that a
// server is leaving.
func (l *Collector) describeSource(line Line) string {
	list, ok := l.lastProcessLine(line.Instance, eventServersAdopted, line.At)
	if !ok {
		return ""
	}
	return ", by " + describeServerList(list)
}

// describeDelay describes when an entry learned it and which server list it
// used until then.
func describeDelay(late notice, first time.Time) string {
	list := unknownSource
	if late.previous.Event != "" {
		list = describeServerList(late.previous)
	}
	return fmt.Sprintf("%s knew it %s after that, and went by %s until then.",
		late.Instance, late.At.Sub(first).Round(precision), list)
}

// describeServerList describes the adoption of a server list.
func describeServerList(line Line) string {
	source := line.Value("source")
	if from := line.Value("from"); from != "" {
		source += " " + from
	}
	return fmt.Sprintf("revision %s of %s, read %s before it was adopted at %s",
		line.Value("revision"), source, line.Duration("reading_age").Round(precision), line.At.UTC().Format(stepTime))
}
