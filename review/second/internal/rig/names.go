package rig

import (
	_ "embed"
	"strings"
)

// namesText has the platform's names, one a line.
//
//go:embed names.txt
var namesText string

// Names of the platform.
var (
	deadlineHeader   = platformName("deadline")
	stampHeader      = platformName("stamp")
	VersionsHeader   = platformName("versions")
	instanceHeader   = platformName("instance")
	notRunHeader     = platformName("not-run")
	configKey        = platformName("config")
	versionKey       = platformName("version")
	settingsVariable = platformName("settings")
)

func platformName(key string) string {
	for line := range strings.Lines(namesText) {
		if name, found := strings.CutPrefix(strings.TrimSpace(line), key+" "); found {
			return name
		}
	}
	panic("no name for " + key)
}
