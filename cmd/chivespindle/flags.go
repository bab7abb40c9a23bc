package main

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// outputFormat is the output format. It implements pflag.Value.
type outputFormat string

const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

var outputNames = []string{string(outputText), string(outputJSON)}

// String implements pflag.Value.
func (f *outputFormat) String() string { return string(*f) }

// Type implements pflag.Value.
func (f *outputFormat) Type() string { return "text|json" }

// Set implements pflag.Value.
func (f *outputFormat) Set(text string) error {
	if !slices.Contains(outputNames, text) {
		return flagError{"must be text or json"}
	}
	*f = outputFormat(text)
	return nil
}

// requestedOutput finds --output before the flags are parsed, so that an error
// in the command line itself is printed in the requested format.
func requestedOutput(args []string) outputFormat {
	for i, arg := range args {
		value, joined := strings.CutPrefix(arg, "--output=")
		if !joined && arg == "--output" && i+1 < len(args) {
			value = args[i+1]
		}
		if value == string(outputJSON) {
			return outputJSON
		}
	}
	return outputText
}

// addressList is a flag that may be repeated. It implements pflag.Value.
type addressList []netip.AddrPort

// String implements pflag.Value.
func (l *addressList) String() string {
	texts := make([]string, len(*l))
	for i, addr := range *l {
		texts[i] = addr.String()
	}
	return strings.Join(texts, ",")
}

// Type implements pflag.Value.
func (l *addressList) Type() string { return "ip:port" }

// Set implements pflag.Value.
func (l *addressList) Set(text string) error {
	addr, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return flagError{"must be an IP number and a port, such as 127.0.0.1:7100"}
	case addr.Port() == 0:
		return flagError{"the port must not be 0"}
	case !slices.Contains(*l, addr):
		*l = append(*l, addr)
	}
	return nil
}

// urgency is an RFC 9218 urgency. It implements pflag.Value.
type urgency int

const (
	maxUrgency    = 7
	unsetUrgency  = urgency(-1)
	urgencyPrefix = "u="
)

// String implements pflag.Value.
func (u *urgency) String() string {
	if *u == unsetUrgency {
		return ""
	}
	return urgencyPrefix + strconv.Itoa(int(*u))
}

// Type implements pflag.Value.
func (u *urgency) Type() string { return "u=N" }

// Set implements pflag.Value.
func (u *urgency) Set(text string) error {
	n, err := strconv.Atoi(strings.TrimPrefix(text, urgencyPrefix))
	if err != nil || n < 0 || n > maxUrgency {
		return flagError{"must be u=0 (first) to u=7"}
	}
	*u = urgency(n)
	return nil
}

// flagError is why a flag's value is rejected. The parser prefixes the flag and
// the value.
type flagError struct{ reason string }

// Error implements error.
func (f flagError) Error() string { return f.reason }
