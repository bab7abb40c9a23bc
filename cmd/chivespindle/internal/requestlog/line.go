// Package requestlog finds in the logs of entries and agents what happened to
// one request, and why.
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

// Keys that processes write; docs/OPERATIONS.md lists them.
const (
	keyTime     = "ts"
	keyLevel    = "level"
	keyEvent    = "event"
	keyInstance = "instance"
	keyRequest  = "request"
)

// maxLineBytes bounds a line; longer lines are not log lines.
const maxLineBytes = 1 << 20

type field struct{ key, value string }

// Line is one event of a process.
type Line struct {
	At       time.Time
	Event    string
	Instance string
	fields   []field
}

// Value returns the value of a key, or "" if the line does not have it.
func (l Line) Value(key string) string {
	i := slices.IndexFunc(l.fields, func(f field) bool { return f.key == key })
	if i < 0 {
		return ""
	}
	return l.fields[i].value
}

// Int returns the value of a key as a number, or 0 if there is none.
func (l Line) Int(key string) int {
	n, err := strconv.Atoi(l.Value(key))
	if err != nil {
		return 0
	}
	return n
}

// Duration returns the value of a key as a duration, or 0 if there is none.
func (l Line) Duration(key string) time.Duration {
	d, err := time.ParseDuration(l.Value(key))
	if err != nil {
		return 0
	}
	return d
}

// Bool reports whether the value of a key is "true".
func (l Line) Bool(key string) bool { return l.Value(key) == "true" }

// Details returns the keys that are specific to the event, as they were
// written.
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

// Read calls handle for each event in a log. Words that a log collector puts
// before the first key are ignored. It returns the number of lines that are not
// events.
func Read(r io.Reader, handle func(Line)) (others int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line, ok := parse(lines.Bytes())
		if !ok {
			others++
			continue
		}
		handle(line)
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
	at, err := time.Parse(time.RFC3339, line.Value(keyTime))
	if err != nil {
		return line, false
	}
	line.At = at
	line.Event = line.Value(keyEvent)
	line.Instance = line.Value(keyInstance)
	return line, line.Event != ""
}
