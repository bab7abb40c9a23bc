package rig

import (
	_ "embed"
	"strings"
)

// wireText lists the names of the users' platform that the stand-ins speak, each after the name
// that the code has for it. They stand in one place, as those of the product do.
//
//go:embed wire.txt
var wireText string

var wireNames = parseWire(wireText)

func parseWire(text string) map[string]string {
	names := make(map[string]string)
	for line := range strings.Lines(text) {
		own, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		names[own] = name
	}
	return names
}

// Wire returns the platform's name for a header, a key, a path or a variable.
func Wire(own string) string {
	name, ok := wireNames[own]
	if !ok {
		panic("wire.txt has no " + own)
	}
	return name
}
