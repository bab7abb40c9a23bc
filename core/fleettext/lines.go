package fleettext

import (
	"bytes"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"
)

// keySeparator separates a key from its value.
const keySeparator = "="

var headerPattern = regexp.MustCompile(`^\[([^\[\]]*)\][ \t]*([;#].*)?$`)

// isKey reports whether name is a valid key: [a-z][a-z0-9_]*.
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

// rawSection is one section as found by lineIndex.
type rawSection struct {
	id          sectionID
	line        int
	lines       map[string]int // line of each key
	refusedKeys []string       // keys whose values were rejected
	// iniText is the input for ini.v1: the header and the accepted pairs.
	iniText []byte
}

// lineIndex records the line numbers of sections and keys, which ini.v1 does not
// provide. It also filters out all lines that ini.v1 would interpret in a
// surprising way: values that span several lines, quoted values, headers with a
// bracket in their comment, and duplicate sections and keys, which it would merge
// or overwrite without an error.
type lineIndex struct {
	faults   *faultList
	sections []rawSection

	seen       map[sectionID]int
	current    *rawSection // nil before the first header and in a rejected section
	headerSeen bool        // a header was seen, valid or not
}

// indexLines indexes text line by line and adds a fault for each rejected line.
func indexLines(text []byte, faults *faultList) *lineIndex {
	x := &lineIndex{faults: faults, seen: map[sectionID]int{}}
	number := 0
	for raw := range bytes.Lines(text) {
		number++
		x.addLine(number, strings.TrimRight(string(raw), "\r\n"))
	}
	return x
}

func (x *lineIndex) addLine(number int, line string) {
	if !x.checkCharacters(number, line) {
		return
	}
	trimmed := strings.TrimSpace(line)
	switch {
	case trimmed == "", trimmed[0] == ';', trimmed[0] == '#':
		return
	case trimmed[0] == '[':
		x.addHeader(number, trimmed)
	default:
		x.addPair(number, trimmed)
	}
}

// checkCharacters rejects invalid UTF-8 and control characters, which an editor
// does not show.
func (x *lineIndex) checkCharacters(number int, line string) bool {
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

func (x *lineIndex) addHeader(number int, line string) {
	x.headerSeen = true
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
	if first, duplicate := x.seen[id]; duplicate {
		x.faults.add(number, "section [%s] appears twice, first on line %d", id, first)
		return
	}
	x.seen[id] = number
	x.sections = append(x.sections, rawSection{
		id: id, line: number, lines: map[string]int{}, iniText: []byte(id.header()),
	})
	x.current = &x.sections[len(x.sections)-1]
}

func (x *lineIndex) addPair(number int, line string) {
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
	if !x.headerSeen {
		x.faults.add(number, "key %q stands before the first section header", key)
		return
	}
	if x.current == nil {
		return
	}
	if first, duplicate := x.current.lines[key]; duplicate {
		x.faults.add(number, "key %q appears twice in [%s], first on line %d", key, x.current.id, first)
		return
	}
	x.current.lines[key] = number
	if strings.IndexAny(value, "\"'`") == 0 {
		x.faults.add(number, "value of %q is quoted: write it without quotes", key)
		x.current.refusedKeys = append(x.current.refusedKeys, key)
		return
	}
	x.current.iniText = append(x.current.iniText, line...)
	x.current.iniText = append(x.current.iniText, '\n')
}
