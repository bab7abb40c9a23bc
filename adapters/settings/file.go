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

// maxFileSize is the largest size of a settings file in bytes. It makes a wrong
// path, such as that of a device, fail at once.
const maxFileSize = megabyte

// sourceValue is the text of one setting and its source.
type sourceValue struct {
	origin string
	line   int
	label  string // the key as written in the source
	text   string
	// baseDir is the directory that a relative path refers to; empty for the
	// working directory.
	baseDir string
}

func (g sourceValue) newFault(reason string) Fault {
	return Fault{Origin: g.origin, Line: g.line, Reason: g.label + ": " + reason}
}

// iniOptions make every value end at the end of its line.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// iniLine is the parsed form of one line of a file.
type iniLine struct {
	section string // set for a section header
	key     string // set for a key
	value   string
}

// fileReader parses a file line by line. The ini library reports no line numbers
// and stops at the first error, so each line is parsed separately.
type fileReader struct {
	path string
	// isSection reports whether the file may have a section of this name.
	isSection    func(name string) bool
	section      string
	skipKeys     bool                   // after an invalid section header
	values       map[string]sourceValue // by Key.Flag
	keyLines     map[string]int         // line of each key
	sectionLines map[string]int         // line of each section header
	faults       []Fault
	// unreadable is true if the file could not be read.
	unreadable bool
}

func newFileReader(path string, isSection func(name string) bool) *fileReader {
	return &fileReader{
		path:         path,
		isSection:    isSection,
		values:       make(map[string]sourceValue),
		keyLines:     make(map[string]int),
		sectionLines: make(map[string]int),
	}
}

// readFile reads the file and checks its syntax, but not the values.
func (r *fileReader) readFile() {
	data, err := readAtMost(r.path, maxFileSize+1)
	r.unreadable = true
	switch {
	case err != nil:
		r.addFault(0, "cannot be read: %v", stripPath(err))
	case len(data) > maxFileSize:
		r.addFault(0, "is larger than %s", valuetext.FormatSize(maxFileSize))
	case !utf8.Valid(data):
		r.addFault(firstInvalidLine(data), "is not UTF-8 text")
	default:
		r.unreadable = false
		r.readText(string(data))
	}
}

// readAtMost reads the first bytes of a file. Reading is limited rather than the
// size checked first, because the file may be a pipe.
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

// stripPath removes the operation and the path, which the fault contains already.
func stripPath(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

func (r *fileReader) readText(text string) {
	text = strings.TrimPrefix(text, "\uFEFF") // byte order mark, written by some editors
	for i, line := range strings.Split(text, "\n") {
		r.readLine(i+1, strings.TrimSpace(line))
	}
}

func (r *fileReader) readLine(number int, text string) {
	line, err := parseLine(text)
	switch {
	case err != nil:
		r.skipKeys = r.skipKeys || strings.HasPrefix(text, "[")
		r.addFault(number, "is neither [section], key = value nor a comment: %.80q", text)
	case line.section != "":
		r.openSection(number, line.section)
	case strings.HasPrefix(text, "["):
		// The library parses [DEFAULT] as the part before all sections. Without
		// this case its keys would be added to the previous section.
		r.openSection(number, strings.Trim(text, "[] "))
	case line.key != "":
		r.addKey(number, line)
	}
}

// parseLine parses one line; blank lines and comments give the zero iniLine.
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
	r.section, r.skipKeys = name, false
	if first, duplicate := r.sectionLines[name]; duplicate {
		r.addFault(number, "[%s] was opened in line %d before", name, first)
		return
	}
	r.sectionLines[name] = number
	if !r.isSection(name) {
		r.addFault(number, "[%s] is no section of the settings", name)
	}
}

func (r *fileReader) addKey(number int, line iniLine) {
	if r.skipKeys {
		return // the section of the key is not known
	}
	if r.section == "" {
		r.addFault(number, "%s stands before the first [section]", line.key)
		return
	}
	name := r.section + "." + line.key
	label := fmt.Sprintf("[%s] %s", r.section, line.key)
	if first, duplicate := r.keyLines[name]; duplicate {
		r.addFault(number, "%s was set in line %d before", label, first)
		return
	}
	r.keyLines[name] = number
	r.values[name] = sourceValue{
		origin:  r.path,
		line:    number,
		label:   label,
		text:    line.value,
		baseDir: filepath.Dir(r.path),
	}
}

func (r *fileReader) addFault(line int, format string, args ...any) {
	r.faults = append(r.faults, Fault{Origin: r.path, Line: line, Reason: fmt.Sprintf(format, args...)})
}
