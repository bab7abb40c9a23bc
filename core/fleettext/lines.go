package fleettext

import (
	"bytes"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"
)

// keySeparator stands between a key and its value.
const keySeparator = "="

var headerPattern = regexp.MustCompile(`^\[([^\[\]]*)\][ \t]*([;#].*)?$`)

// isKey reports whether name has the form of a key: [a-z][a-z0-9_]*.
func isKey(name string) bool {
	for i, c := range []byte(name) {
		lower := 'a' <= c && c <= 'z'
		later := c == '_' || '0' <= c && c <= '9'
		if !lower && (i == 0 || !later) {
			return false
		}
	}
	return name != ""
}

// block is one section of a text as the line index sees it.
type block struct {
	id    sectionID
	line  int
	lines map[string]int // line of each key
	held  []string       // keys whose values were refused already
	// clean is what ini.v1 may read: the header and the accepted pairs.
	clean []byte
}

// lineIndex remembers where sections and keys stand, which ini.v1 does not,
// and holds back from it every line that it would read in a surprising way:
// a value that runs over several lines, a quoted value, a header with a
// bracket in its comment, a second section or key of one name (merged or
// overwritten in silence).
type lineIndex struct {
	faults *faultList
	blocks []block

	seen    map[sectionID]int
	current *block // nil before the first header and in a refused section
	started bool   // a header was seen, accepted or not
}

// indexLines walks text line by line. Faults go to faults.
func indexLines(text []byte, faults *faultList) *lineIndex {
	x := &lineIndex{faults: faults, seen: map[sectionID]int{}}
	number := 0
	for raw := range bytes.Lines(text) {
		number++
		x.line(number, strings.TrimRight(string(raw), "\r\n"))
	}
	return x
}

func (x *lineIndex) line(number int, line string) {
	if !x.plain(number, line) {
		return
	}
	trimmed := strings.TrimSpace(line)
	switch {
	case trimmed == "", trimmed[0] == ';', trimmed[0] == '#':
		return
	case trimmed[0] == '[':
		x.header(number, trimmed)
	default:
		x.pair(number, trimmed)
	}
}

// plain refuses what an editor does not show.
func (x *lineIndex) plain(number int, line string) bool {
	if !utf8.ValidString(line) {
		x.faults.add(number, "line is not UTF-8")
		return false
	}
	for _, r := range line {
		if unicode.IsControl(r) && r != '\t' {
			x.faults.add(number, "line holds the control character %U", r)
			return false
		}
	}
	return true
}

func (x *lineIndex) header(number int, line string) {
	x.started = true
	x.current = nil
	match := headerPattern.FindStringSubmatch(line)
	if match == nil {
		x.faults.add(number, "section header is not of the form [kind] or [kind name]")
		return
	}
	id, err := parseSectionID(match[1])
	if err != nil {
		x.faults.add(number, "%s", err)
		return
	}
	if first, twice := x.seen[id]; twice {
		x.faults.add(number, "section [%s] appears twice, first on line %d", id, first)
		return
	}
	x.seen[id] = number
	x.blocks = append(x.blocks, block{
		id: id, line: number, lines: map[string]int{}, clean: []byte(id.header()),
	})
	x.current = &x.blocks[len(x.blocks)-1]
}

func (x *lineIndex) pair(number int, line string) {
	key, value, found := strings.Cut(line, keySeparator)
	if !found {
		x.faults.add(number, `line is neither a section header, a "key = value" pair nor a comment`)
		return
	}
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	if !isKey(key) {
		x.faults.add(number, "bad key %q: want lower-case letters, digits and _", key)
		return
	}
	if !x.started {
		x.faults.add(number, "key %q stands before the first section header", key)
		return
	}
	if x.current == nil {
		return
	}
	if first, twice := x.current.lines[key]; twice {
		x.faults.add(number, "key %q appears twice in [%s], first on line %d", key, x.current.id, first)
		return
	}
	x.current.lines[key] = number
	if strings.IndexAny(value, "\"'`") == 0 {
		x.faults.add(number, "value of %q is quoted: write it without quotes", key)
		x.current.held = append(x.current.held, key)
		return
	}
	x.current.clean = append(x.current.clean, line...)
	x.current.clean = append(x.current.clean, '\n')
}
