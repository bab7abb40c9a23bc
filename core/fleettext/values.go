package fleettext

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"chivespindle.example/core/valuetext"
)

// MaxNameBytes is the largest length of a name.
const MaxNameBytes = 63

var (
	integerPattern = regexp.MustCompile(`^[0-9]{1,9}$`)
	decimalPattern = regexp.MustCompile(`^[0-9]{1,9}(\.[0-9]{1,2})?$`)
	ratePattern    = regexp.MustCompile(`^([0-9]{1,9})(B|KB|MB|GB)$`)
)

// valueError explains why a value is invalid.
type valueError struct{ reason string }

func (e valueError) Error() string { return e.reason }

func newValueError(format string, args ...any) error {
	return valueError{reason: fmt.Sprintf(format, args...)}
}

func parseName(value string) (string, error) {
	if len(value) > MaxNameBytes {
		return "", newValueError("name has %d bytes, at most %d are allowed", len(value), MaxNameBytes)
	}
	if !isName(value) {
		return "", newValueError("bad name %q: want letters, digits, '.', '_' and '-', a letter or digit first", value)
	}
	return value, nil
}

// isName reports whether name matches [A-Za-z0-9][A-Za-z0-9._-]*.
func isName(name string) bool {
	for i, c := range []byte(name) {
		first := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		later := c == '.' || c == '_' || c == '-'
		if !first && (i == 0 || !later) {
			return false
		}
	}
	return name != ""
}

// parseNames parses a comma-separated list and returns it sorted.
func parseNames(value string) ([]string, error) {
	var names []string
	for item := range strings.SplitSeq(value, ",") {
		name, err := parseName(strings.TrimSpace(item))
		if err != nil {
			return nil, err
		}
		if slices.Contains(names, name) {
			return nil, newValueError("%q is listed twice", name)
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func formatNames[T ~string](names []T) string {
	items := make([]string, len(names))
	for i, name := range names {
		items[i] = string(name)
	}
	return strings.Join(items, ", ")
}

func parseInteger(value string, low, high int) (int, error) {
	if !integerPattern.MatchString(value) {
		return 0, newValueError("%q is not a whole number", value)
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		return 0, newValueError("%s is out of range: want %d to %d", value, low, high)
	}
	return n, nil
}

func parseDecimal(value string, low, high float64) (float64, error) {
	if !decimalPattern.MatchString(value) {
		return 0, newValueError("%q is not a number with at most two decimals", value)
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || x < low || x > high {
		return 0, newValueError("%s is out of range: want %s to %s", value, formatDecimal(low), formatDecimal(high))
	}
	return x, nil
}

func formatDecimal(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func parseDuration(value string, low, high time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err != nil {
		return 0, newValueError("%q is not a duration such as 30s or 2m", value)
	}
	if d < low || d > high {
		return 0, newValueError("%s is out of range: want %s to %s", value, valuetext.FormatDuration(low), valuetext.FormatDuration(high))
	}
	return d, nil
}

// maxRate is the highest rate in bytes per second.
const maxRate = int64(1e12)

// parseRate parses a rate in bytes per second such as "50MB" or "0".
func parseRate(value string) (int64, error) {
	if value == "0" {
		return 0, nil
	}
	match := ratePattern.FindStringSubmatch(value)
	if match == nil {
		return 0, newValueError("%q is not a rate such as 50MB (units B, KB, MB, GB) or 0", value)
	}
	n, err := strconv.ParseInt(match[1], 10, 64)
	if err != nil {
		return 0, newValueError("%q is not a rate", value)
	}
	for _, unit := range valuetext.Units {
		if unit.Name != match[2] {
			continue
		}
		if n > maxRate/unit.Bytes {
			return 0, newValueError("%s is out of range: want at most %s", value, valuetext.FormatSize(maxRate))
		}
		n *= unit.Bytes
		break
	}
	return n, nil
}

func parseChoice[T ~string](value string, choices ...T) (T, error) {
	if slices.Contains(choices, T(value)) {
		return T(value), nil
	}
	var none T
	return none, newValueError("%q is not one of %s", value, formatNames(choices))
}

func formatInteger(n int) string { return strconv.Itoa(n) }
