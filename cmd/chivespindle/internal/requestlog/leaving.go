package requestlog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// mostBehind bounds the entries that are named as the last to know of a leaving server.
const mostBehind = 3

// sameStep is the longest time from the line of a reading to the lines of what it told.
const sameStep = 5 * time.Millisecond

// learned is when an entry learned that a server leaves.
type learned struct {
	Line
	// by is the reading of the servers that the entry went by until then.
	by Line
}

// AtServer names a server that the request reached, where its own lines name none: a
// plain success has one line in fifty.
func (l *Log) AtServer(server string) { l.server = server }

// leaving tells which readings of the servers entries went by, if the request reached a
// server that another entry knew to leave; empty if none did.
func (l *Log) leaving() string {
	var parts []string
	for _, server := range l.reached() {
		parts = append(parts, l.leavingOf(server))
	}
	return strings.Join(parts, "")
}

// reached returns the servers that the request was sent to, as far as is known.
func (l *Log) reached() []string {
	var servers []string
	if l.server != "" {
		servers = append(servers, l.server)
	}
	for _, line := range l.own {
		for _, key := range []string{"server", "to"} {
			if s := line.Text(key); s != "" && !slices.Contains(servers, s) {
				servers = append(servers, s)
			}
		}
	}
	return servers
}

func (l *Log) leavingOf(server string) string {
	all := l.whoLearned(server)
	if len(all) == 0 {
		return ""
	}
	first := all[0]
	text := fmt.Sprintf(" Server %s leaves: the first entry to know, %s, did at %s%s.",
		server, first.Instance, first.At.UTC().Format(stepTime), l.source(first.Line))
	if len(l.own) == 0 {
		slices.Reverse(all)
		for _, late := range all[:min(mostBehind, len(all)-1)] {
			text += " " + behind(late, first.At)
		}
		return text
	}
	last := l.own[len(l.own)-1]
	arrived := last.At.Add(-last.Duration("age"))
	if !arrived.After(first.At) {
		return ""
	}
	for _, own := range all {
		if own.Instance != last.Instance {
			continue
		}
		if !own.At.After(arrived) {
			return ""
		}
		return text + " " + behind(own, first.At)
	}
	by, known := l.lastBelief(last.Instance, eventAdopted, last.At)
	if !known {
		return ""
	}
	return text + fmt.Sprintf(" %s has no line of it, and went by %s.", last.Instance, readingOf(by))
}

const (
	stepTime      = "15:04:05.000"
	eventAdopted  = "servers_adopted"
	eventLeaves   = "server_leaves"
	eventRemoved  = "server_removed"
	unknownSource = "a reading that no line tells of"
)

// whoLearned returns when each entry first knew that a server leaves, in order of time.
func (l *Log) whoLearned(server string) []learned {
	seen := make(map[string]bool)
	var all []learned
	for _, line := range l.beliefs {
		if line.Event != eventLeaves && line.Event != eventRemoved || line.Text("server") != server || seen[line.Instance] {
			continue
		}
		seen[line.Instance] = true
		by, _ := l.lastBelief(line.Instance, eventAdopted, line.At.Add(-sameStep))
		all = append(all, learned{line, by})
	}
	slices.SortStableFunc(all, func(a, b learned) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return all
}

// source tells by which reading an entry learned of a server's leaving.
func (l *Log) source(line Line) string {
	by, ok := l.lastBelief(line.Instance, eventAdopted, line.At)
	if !ok {
		return ""
	}
	return ", by " + readingOf(by)
}

// behind tells when an entry learned it, and what it went by until then.
func behind(late learned, first time.Time) string {
	by := unknownSource
	if late.by.Event != "" {
		by = readingOf(late.by)
	}
	return fmt.Sprintf("%s knew it %s after that, and went by %s until then.",
		late.Instance, late.At.Sub(first).Round(round), by)
}

// readingOf describes a reading of the servers.
func readingOf(line Line) string {
	giver := line.Text("source")
	if from := line.Text("from"); from != "" {
		giver += " " + from
	}
	return fmt.Sprintf("revision %s of %s, read %s before it was adopted at %s",
		line.Text("revision"), giver, line.Duration("reading_age").Round(round), line.At.UTC().Format(stepTime))
}
