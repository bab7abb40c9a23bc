// Package requestlog finds in the logs of entries and agents what happened to
// one request and why it ended as it did.
package requestlog

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"chivespindle.example/core/failure"
)

// Keys and events that processes write; docs/OPERATIONS.md lists them.
const (
	keyTime     = "ts"
	keyLevel    = "level"
	keyEvent    = "event"
	keyInstance = "instance"
	keyRequest  = "request"
)

// maxLine bounds a line; longer ones are no log lines.
const maxLine = 1 << 20

type field struct{ key, value string }

// Line is one event of a process.
type Line struct {
	At       time.Time
	Event    string
	Instance string
	fields   []field
}

// Text returns the value of a key, empty if the line has none.
func (l Line) Text(key string) string {
	at := slices.IndexFunc(l.fields, func(f field) bool { return f.key == key })
	if at < 0 {
		return ""
	}
	return l.fields[at].value
}

// Int returns a number, 0 if the line has none.
func (l Line) Int(key string) int {
	n, err := strconv.Atoi(l.Text(key))
	if err != nil {
		return 0
	}
	return n
}

// Duration returns a duration, 0 if the line has none.
func (l Line) Duration(key string) time.Duration {
	d, err := time.ParseDuration(l.Text(key))
	if err != nil {
		return 0
	}
	return d
}

// Is reports whether a key is true.
func (l Line) Is(key string) bool { return l.Text(key) == "true" }

// Details returns the line's own keys as they were written.
func (l Line) Details() string {
	var parts []string
	for _, f := range l.fields {
		switch f.key {
		case keyTime, keyLevel, keyEvent, keyInstance, keyRequest:
			continue
		}
		value := f.value
		if strings.ContainsAny(value, ` "=`) {
			value = strconv.Quote(value)
		}
		parts = append(parts, f.key+"="+value)
	}
	return strings.Join(parts, " ")
}

// Read hands each line of a log to take. Words before the first key, as a
// collector of logs puts them there, are passed over. It returns how many
// lines are no events.
func Read(r io.Reader, take func(Line)) (others int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line, ok := parse(lines.Bytes())
		if !ok {
			others++
			continue
		}
		take(line)
	}
	if err := lines.Err(); err != nil {
		return others, failure.Invalid.Wrap(err, "the log cannot be read")
	}
	return others, nil
}

func parse(text []byte) (Line, bool) {
	var line Line
	decoder := logfmt.NewDecoder(strings.NewReader(string(text)))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		if decoder.Value() != nil {
			line.fields = append(line.fields, field{string(decoder.Key()), string(decoder.Value())})
		}
	}
	if decoder.Err() != nil {
		return line, false
	}
	at, err := time.Parse(time.RFC3339, line.Text(keyTime))
	if err != nil {
		return line, false
	}
	line.At = at
	line.Event = line.Text(keyEvent)
	line.Instance = line.Text(keyInstance)
	return line, line.Event != ""
}
