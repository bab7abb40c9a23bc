package main

import (
	"bytes"
	"io"
	"regexp"
	"strings"
)

// maxFailureLines bounds the lines that are kept of one failure.
const maxFailureLines = 60

var (
	colors       = regexp.MustCompile("\x1b\\[[0-9;]*m")
	failureStart = regexp.MustCompile(`^(• \[[A-Z]+\]|--- FAIL: |panic: )`)
	failureEnd   = regexp.MustCompile(`^(-{30}|FAIL|ok )`)
)

// failures copies the output of go test and keeps the parts that describe failures, so that they
// can be repeated at the end: long logs may be cut in the middle.
type failures struct {
	out       io.Writer
	line      []byte // the last line while it is incomplete
	kept      []string
	keptLines int // of the current failure, 0 outside of one
}

// Write implements io.Writer.
func (f *failures) Write(p []byte) (int, error) {
	f.line = append(f.line, p...)
	for {
		line, rest, isComplete := bytes.Cut(f.line, []byte("\n"))
		if !isComplete {
			break
		}
		f.read(string(line))
		f.line = rest
	}
	return f.out.Write(p)
}

func (f *failures) read(line string) {
	line = colors.ReplaceAllString(line, "")
	switch {
	case failureStart.MatchString(line):
		f.keptLines = 0
	case f.keptLines == 0 || f.keptLines == maxFailureLines || failureEnd.MatchString(line):
		f.keptLines = 0
		return
	}
	f.kept = append(f.kept, line)
	f.keptLines++
}

// repeat prints the failures again.
func (f *failures) repeat() error {
	if len(f.kept) == 0 {
		return nil
	}
	_, err := io.WriteString(f.out, "\nFAILURES:\n"+strings.Join(f.kept, "\n")+"\n")
	return err
}
