package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"go.uber.org/zap/zapcore"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/valuetext"
)

// Type is the type of a value as shown in the reference.
type Type string

// Types of values.
const (
	TypeName     Type = "name"     // letters, digits, '.', '_' and '-'
	TypePlace    Type = "place"    // a name that may contain spaces
	TypeEnum     Type = "word"     // one of a fixed set of words
	TypeAddress  Type = "address"  // IP address and port
	TypeURL      Type = "url"      // http://ip:port with an optional path
	TypePath     Type = "path"     // file path
	TypeDuration Type = "duration" // 250ms, 30s, 5m
	TypeSize     Type = "size"     // 512KB, 64MB, 1.25GB
	TypeNumber   Type = "number"   // integer
	TypeShare    Type = "share"    // decimal fraction
)

const (
	maxNameRunes = 64

	byteUnit = 1
	kilobyte = 1000
	megabyte = 1000 * kilobyte
	gigabyte = 1000 * megabyte
)

// binding connects a key to its field: how the text is parsed, which values are
// allowed and where the value is stored.
type binding struct {
	valueType Type
	unit      string // as shown in the reference; empty for none
	limits    string // as shown in the reference; empty if valueType is sufficient
	store     func(s *Settings, text string) error
}

// bind returns the binding of a field with the parser of its type.
func bind[T any](valueType Type, limits string, parse func(string) (T, error), field func(*Settings) *T) binding {
	store := func(s *Settings, text string) error {
		value, err := parse(text)
		if err != nil {
			return err
		}
		*field(s) = value
		return nil
	}
	return binding{valueType: valueType, limits: limits, store: store}
}

func name[T ~string](field func(*Settings) *T) binding {
	parse := func(text string) (T, error) {
		return T(text), checkName(text, false)
	}
	return bind(TypeName, fmt.Sprintf("at most %d characters", maxNameRunes), parse, field)
}

func place[T ~string](field func(*Settings) *T) binding {
	parse := func(text string) (T, error) {
		return T(text), checkName(text, true)
	}
	return bind(TypePlace, fmt.Sprintf("at most %d characters", maxNameRunes), parse, field)
}

func enum[T ~string](field func(*Settings) *T, choices ...T) binding {
	listed := make([]string, len(choices))
	for i, choice := range choices {
		listed[i] = string(choice)
	}
	parse := func(text string) (T, error) {
		if !slices.Contains(choices, T(text)) {
			return "", enumError(listed, text)
		}
		return T(text), nil
	}
	return bind(TypeEnum, strings.Join(listed, ", "), parse, field)
}

func level(field func(*Settings) *zapcore.Level, choices []zapcore.Level) binding {
	listed := make([]string, len(choices))
	for i, choice := range choices {
		listed[i] = choice.String()
	}
	parse := func(text string) (zapcore.Level, error) {
		i := slices.Index(listed, text)
		if i < 0 {
			return 0, enumError(listed, text)
		}
		return choices[i], nil
	}
	return bind(TypeEnum, strings.Join(listed, ", "), parse, field)
}

func enumError(choices []string, text string) error {
	return failure.Invalid.New("must be one of %s, not %q", strings.Join(choices, ", "), text)
}

func address(field func(*Settings) *netip.AddrPort, wildcard wildcardRule) binding {
	limits := "one address"
	if wildcard == wildcardAllowed {
		limits = "0.0.0.0 and [::] allowed"
	}
	parse := func(text string) (netip.AddrPort, error) {
		return parseAddress(text, wildcard)
	}
	return bind(TypeAddress, limits, parse, field)
}

func baseURL(field func(*Settings) *string) binding {
	return bind(TypeURL, "", parseURL, field)
}

func path(field func(*Settings) *string) binding {
	parse := func(text string) (string, error) {
		if strings.ContainsRune(text, 0) {
			return "", failure.Invalid.New("must be a path, not %q", text)
		}
		return text, nil
	}
	return bind(TypePath, "", parse, field)
}

// withUnit returns the binding with the unit of its value.
func (b binding) withUnit(unit string) binding {
	b.unit = unit
	return b
}

func duration(field func(*Settings) *time.Duration, low, high time.Duration) binding {
	limits := valuetext.FormatDuration(low) + " to " + valuetext.FormatDuration(high)
	parse := func(text string) (time.Duration, error) {
		value, err := time.ParseDuration(text)
		if err != nil {
			return 0, failure.Invalid.New("must be a duration such as 250ms, 30s or 5m, not %q", text)
		}
		return inRange(value, low, high, limits, text)
	}
	return bind(TypeDuration, limits, parse, field).withUnit("time")
}

func size(field func(*Settings) *int64, low, high int64) binding {
	limits := valuetext.FormatSize(low) + " to " + valuetext.FormatSize(high)
	parse := func(text string) (int64, error) {
		value, err := parseSize(text)
		if err != nil {
			return 0, err
		}
		return inRange(value, low, high, limits, text)
	}
	return bind(TypeSize, limits, parse, field).withUnit("bytes")
}

func number(field func(*Settings) *int, low, high int) binding {
	limits := fmt.Sprintf("%d to %d", low, high)
	parse := func(text string) (int, error) {
		value, err := strconv.Atoi(text)
		if err != nil {
			return 0, failure.Invalid.New("must be a whole number from %s, not %q", limits, text)
		}
		return inRange(value, low, high, limits, text)
	}
	return bind(TypeNumber, limits, parse, field)
}

func share(field func(*Settings) *float64, low, high float64) binding {
	limits := fmt.Sprintf("%g to %g", low, high)
	parse := func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(value) {
			return 0, failure.Invalid.New("must be a fraction such as 0.8, not %q", text)
		}
		return inRange(value, low, high, limits, text)
	}
	return bind(TypeShare, limits, parse, field).withUnit("of 1")
}

func inRange[T int | int64 | float64 | time.Duration](value, low, high T, limits, text string) (T, error) {
	if value < low || value > high {
		return 0, failure.Invalid.New("must be from %s, not %s", limits, text)
	}
	return value, nil
}

// checkName accepts characters that are safe in log lines, URLs and metric labels.
// Letters may be of any script, and names of places may contain spaces.
func checkName(text string, allowSpaces bool) error {
	if utf8.RuneCountInString(text) > maxNameRunes {
		return failure.Invalid.New("must have at most %d characters, not %d", maxNameRunes, utf8.RuneCountInString(text))
	}
	if !utf8.ValidString(text) {
		return failure.Invalid.New("must be UTF-8, not %q", text)
	}
	for _, r := range text {
		allowed := unicode.IsLetter(r) || unicode.IsDigit(r) || strings.ContainsRune("._-", r) || allowSpaces && r == ' '
		if !allowed {
			return failure.Invalid.New("must not hold %q", r)
		}
	}
	return nil
}

type wildcardRule bool

const (
	// wildcardRefused is for addresses that are published to other processes.
	wildcardRefused wildcardRule = false
	wildcardAllowed wildcardRule = true
)

// parseAddress accepts IP addresses only. Host names would have to be resolved, and
// a lookup that fails or changes would cut the process off from its peers.
func parseAddress(text string, wildcard wildcardRule) (netip.AddrPort, error) {
	host, port, err := splitAddress(text)
	if err != nil {
		return netip.AddrPort{}, err
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return netip.AddrPort{}, failure.Invalid.New("must be an IP number and a port; %q is a name, and names are not looked up", host)
	}
	if ip.IsUnspecified() && wildcard == wildcardRefused {
		return netip.AddrPort{}, failure.Invalid.New("must be an address that others can connect to, not %s", host)
	}
	return netip.AddrPortFrom(ip.Unmap(), port), nil
}

// splitAddress splits "ip:port" and "[ip]:port".
func splitAddress(text string) (host string, port uint16, err error) {
	colon := strings.LastIndexByte(text, ':')
	if colon < 0 || strings.HasSuffix(text, "]") {
		return "", 0, failure.Invalid.New("must be an IP number and a port such as 127.0.0.1:7100; %q has no port", text)
	}
	host, digits := text[:colon], text[colon+1:]
	number, err := strconv.ParseUint(digits, 10, 16)
	if err != nil || number == 0 {
		return "", 0, failure.Invalid.New("must have a port from 1 to 65535, not %q", digits)
	}
	bare, closed := strings.CutSuffix(host, "]")
	bare, opened := strings.CutPrefix(bare, "[")
	if opened != closed || strings.Contains(bare, ":") != opened {
		return "", 0, failure.Invalid.New("must have brackets around an IPv6 number and only there, not %q", host)
	}
	if bare == "" {
		return "", 0, failure.Invalid.New("must have an IP number before the port")
	}
	return bare, uint16(number), nil
}

func parseURL(text string) (string, error) {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		return "", failure.Invalid.New("must be a URL such as http://127.0.0.1:8080, not %q", text)
	}
	extra := parsed.User != nil || parsed.RawQuery != "" || parsed.ForceQuery || parsed.Fragment != ""
	if extra {
		return "", failure.Invalid.New("must be a URL without user, query or fragment, not %q", text)
	}
	if _, err := parseAddress(parsed.Host, wildcardRefused); err != nil {
		return "", err
	}
	return strings.TrimRight(text, "/"), nil
}

func parseSize(text string) (int64, error) {
	digits, unit := text, int64(byteUnit)
	for _, u := range valuetext.Units {
		if head, found := strings.CutSuffix(text, u.Name); found {
			digits, unit = strings.TrimSpace(head), u.Bytes
			break
		}
	}
	value, err := strconv.ParseFloat(digits, 64)
	bytes := value * float64(unit)
	valid := err == nil && bytes == math.Trunc(bytes) && math.Abs(bytes) <= 1<<53
	if !valid || strings.ContainsAny(digits, "xXpP_") {
		return 0, failure.Invalid.New("must be a size such as 512KB, 64MB or 1.25GB, not %q", text)
	}
	return int64(bytes), nil
}
