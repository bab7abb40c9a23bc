// Package valuetext formats sizes and durations for configuration files.
package valuetext

import (
	"strconv"
	"strings"
	"time"
)

// Unit is a unit of size.
type Unit struct {
	Name  string
	Bytes int64
}

// Units lists the units in descending order. They are decimal, like link rates.
var Units = []Unit{{"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1}}

// FormatSize formats a size in the largest unit that gives a whole number.
func FormatSize(bytes int64) string {
	if bytes == 0 {
		return "0"
	}
	i := 0
	for bytes%Units[i].Bytes != 0 {
		i++
	}
	return strconv.FormatInt(bytes/Units[i].Bytes, 10) + Units[i].Name
}

// FormatDuration formats a duration without trailing zero units: "1h" where
// time.Duration.String returns "1h0m0s".
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
