package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"chivespindle.example/core/valuetext"
)

// maxFileSize bounds a settings file in bytes, so that a path to something
// else is refused at once.
const maxFileSize = megabyte

// given is a value from one of the sources.
type given struct {
	origin string
	line   int
	label  string // the key as its source writes it
	text   string
	// dir is the directory that a relative path is taken from; empty for the
	// working directory.
	dir string
}

func (g given) fault(reason string) Fault {
	return Fault{Origin: g.origin, Line: g.line, Reason: g.label + ": " + reason}
}

// iniOptions make every value end on its line.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// iniLine is what the library makes of one line of a file.
type iniLine struct {
	section string // set by a section line
	key     string // set by a key line
	value   string
}

// fileReader reads a file line by line. The library knows no line numbers and
// stops at the first fault, so each line is parsed alone.
type fileReader struct {
	path string
	// isSection reports whether the file may have a section of the name.
	isSection func(name string) bool
	section   string
	lost      bool             // below a section line that could not be read
	values    map[string]given // by Key.Flag
	seen      map[string]int   // line of each key of the file
	headers   map[string]int   // line of each section
	faults    []Fault
	// unreadable is true if nothing is known of what the file holds.
	unreadable bool
}

func newFileReader(path string, isSection func(name string) bool) *fileReader {
	return &fileReader{
		path:      path,
		isSection: isSection,
		values:    make(map[string]given),
		seen:      make(map[string]int),
		headers:   make(map[string]int),
	}
}

// readFile reads the settings of a file, checked for form but not for values.
func (r *fileReader) readFile() {
	data, err := readAtMost(r.path, maxFileSize+1)
	r.unreadable = true
	switch {
	case err != nil:
		r.fault(0, "cannot be read: %v", withoutPath(err))
	case len(data) > maxFileSize:
		r.fault(0, "is larger than %s", valuetext.Size(maxFileSize))
	case !utf8.Valid(data):
		r.fault(firstInvalidLine(data), "is not UTF-8 text")
	default:
		r.unreadable = false
		r.readText(string(data))
	}
}

// readAtMost reads the first bytes of a file, which may be a pipe.
func readAtMost(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, limit))
}

func firstInvalidLine(data []byte) int {
	for i, line := range bytes.Split(data, []byte("\n")) {
		if !utf8.Valid(line) {
			return i + 1
		}
	}
	return 0
}

// withoutPath drops the operation and the path, which the fault names already.
func withoutPath(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

func (r *fileReader) readText(text string) {
	text = strings.TrimPrefix(text, "\uFEFF") // a byte order mark of some editors
	for i, line := range strings.Split(text, "\n") {
		r.readLine(i+1, strings.TrimSpace(line))
	}
}

func (r *fileReader) readLine(number int, text string) {
	line, err := parseLine(text)
	switch {
	case err != nil:
		r.lost = r.lost || strings.HasPrefix(text, "[")
		r.fault(number, "is neither [section], key = value nor a comment: %.80q", text)
	case line.section != "":
		r.openSection(number, line.section)
	case strings.HasPrefix(text, "["):
		// The library takes [DEFAULT] for the part above all sections. Without
		// this case the keys below would go to the section above.
		r.openSection(number, strings.Trim(text, "[] "))
	case line.key != "":
		r.addKey(number, line)
	}
}

// parseLine returns what the library reads from one line; the zero iniLine
// for a blank line and a comment.
func parseLine(text string) (iniLine, error) {
	file, err := ini.LoadSources(iniOptions, []byte(text))
	if err != nil {
		return iniLine{}, err
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			return iniLine{key: key.Name(), value: key.Value()}, nil
		}
		if section.Name() != ini.DefaultSection {
			return iniLine{section: section.Name()}, nil
		}
	}
	return iniLine{}, nil
}

func (r *fileReader) openSection(number int, name string) {
	r.section, r.lost = name, false
	if first, repeated := r.headers[name]; repeated {
		r.fault(number, "[%s] was opened in line %d before", name, first)
		return
	}
	r.headers[name] = number
	if !r.isSection(name) {
		r.fault(number, "[%s] is no section of the settings", name)
	}
}

func (r *fileReader) addKey(number int, line iniLine) {
	if r.lost {
		return // its key is not known
	}
	if r.section == "" {
		r.fault(number, "%s stands before the first [section]", line.key)
		return
	}
	name := r.section + "." + line.key
	label := fmt.Sprintf("[%s] %s", r.section, line.key)
	if first, repeated := r.seen[name]; repeated {
		r.fault(number, "%s was set in line %d before", label, first)
		return
	}
	r.seen[name] = number
	r.values[name] = given{
		origin: r.path,
		line:   number,
		label:  label,
		text:   line.value,
		dir:    filepath.Dir(r.path),
	}
}

func (r *fileReader) fault(line int, format string, args ...any) {
	r.faults = append(r.faults, Fault{Origin: r.path, Line: line, Reason: fmt.Sprintf(format, args...)})
}
