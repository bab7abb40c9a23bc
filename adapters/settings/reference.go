package settings

import (
	"fmt"
	"io"
	"strings"

	"chivespindle.example/core/fleet"
)

const referenceHeader = `# Settings

<!-- Made from the table in adapters/settings/table.go by go generate; do not edit. -->

Settings of one process of chivespindle. They are read once, at start, and
checked whole: the process starts with all of them right or prints every fault
with its file, line and reason, and stops.

A value comes from, first to last: the flag ` + "`--section.key`" + `, the environment
variable ` + "`CHIVESPINDLE_SECTION_KEY`" + `, the INI file, the default. A key that the
process does not know, or that belongs to the other role, is refused, and so is
an unknown variable that starts with ` + "`CHIVESPINDLE_`" + `. The fields of the users'
platform are in [OPERATIONS.md](OPERATIONS.md), Fields of the platform.

Values by type:

| type | form |
|---|---|
| name | letters, digits, ` + "`.`, `_` and `-`" + ` |
| place | a name, with spaces allowed |
| word | one of the words listed |
| address | IP number and port, ` + "`127.0.0.1:7100` or `[::1]:7100`" + `; names are refused, since none is looked up |
| url | ` + "`http://ip:port`" + `, perhaps with a path; no user, query or fragment |
| path | path of a file; one in the file is taken from the file's directory |
| duration | number with unit: ` + "`250ms`, `30s`, `5m`" + ` |
| size | number of bytes with unit: ` + "`512KB`, `64MB`, `1.25GB`" + `; 1 KB is 1,000 bytes |
| number | whole number |
| share | decimal fraction |

A line is ` + "`[section]`, `key = value`, or a comment after `#` or `;`" + `. Ready
files stand in examples/settings/.
`

// sectionDocs are the introductions of the sections in the reference.
var sectionDocs = map[string]string{
	"instance": "Which instance this is, and where it runs.",
	"listen":   "Where the process listens.",
	"platform": "Where the platform's services are, and how often they are asked.",
	"tls":      "Who is a process of the system. All files are PEM.",
	"backend":  "The backend server beside an agent.",
	"link":     "The network link of the instance.",
	"limits":   "What the process may use.",
	"log":      "Logs: one line of key=value pairs for each event.",
	"trace":    "Traces: a span for each hop.",
	"entry":    "What an entry promises its callers.",
	"agent":    "How an agent moves weights.",
}

// WriteReference writes the reference of all settings as Markdown.
func WriteReference(w io.Writer) error {
	var page strings.Builder
	page.WriteString(referenceHeader)
	section := ""
	for _, key := range table {
		if key.Section != section {
			section = key.Section
			writeSectionHeader(&page, section)
		}
		writeRow(&page, key)
	}
	_, err := io.WriteString(w, page.String())
	return err
}

func writeSectionHeader(page *strings.Builder, section string) {
	fmt.Fprintf(page, "\n## [%s]\n\n%s\n\n", section, sectionDocs[section])
	page.WriteString("| key | type | unit | default | range | role | meaning |\n|---|---|---|---|---|---|---|\n")
}

func writeRow(page *strings.Builder, key Key) {
	defaultText := "none"
	switch {
	case key.Required:
		defaultText = "required"
	case key.Default != "":
		defaultText = "`" + key.Default + "`"
	}
	fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s | %s | %s |\n",
		key.Name, key.Type, key.Unit, defaultText, key.Range, rolesText(key.Roles), key.Doc)
}

func rolesText(roles []fleet.Role) string {
	if len(roles) > 1 {
		return "both"
	}
	return string(roles[0])
}
