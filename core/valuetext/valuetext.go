// Package valuetext writes values for texts that people edit.
package valuetext

import (
	"strconv"
	"strings"
	"time"
)

// Unit is a unit of sizes.
type Unit struct {
	Name  string
	Bytes int64
}

// Units are decimal, as link rates are; the largest is first.
var Units = []Unit{{"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1}}

// Size writes a size in the largest unit that leaves a whole number.
func Size(bytes int64) string {
	if bytes == 0 {
		return "0"
	}
	at := 0
	for bytes%Units[at].Bytes != 0 {
		at++
	}
	return strconv.FormatInt(bytes/Units[at].Bytes, 10) + Units[at].Name
}

// Duration writes "1h" where time.Duration.String writes "1h0m0s".
func Duration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
