package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSwitchOffConfiguresBothRoles(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "deploy"), 0o755); err != nil {
		t.Fatal(err)
	}
	deploy := "run = \"target/x platform entry\"\nrun = \"target/x platform agent\"\n"
	if err := os.WriteFile(filepath.Join(dir, deployFile), []byte(deploy), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := switchOff(dir, "turns"); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, deployFile))
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(text), "--mechanisms "+mechanismFile); n != 2 {
		t.Errorf("%d of 2 roles are configured to read the file: %s", n, text)
	}
	ini, err := os.ReadFile(filepath.Join(dir, mechanismFile))
	if err != nil || string(ini) != "[mechanisms]\nturns = off\n" {
		t.Errorf("contents of the file: %q, error: %v", ini, err)
	}
}

func TestWriteRowPairsRunsOfTheSameSeed(t *testing.T) {
	o := options{sites: []string{"a/one.toml", "a/two.toml"}, days: []string{"d"}, seeds: []string{"1", "2"}}
	base, off := make(map[benchRun]result), make(map[benchRun]result)
	for i, r := range o.benchRuns() {
		base[r] = result{score: 0.5 + float64(i)/10}
		off[r] = result{score: 0.4 + float64(i)/10}
	}
	off[o.benchRuns()[3]] = result{score: 0.9, violations: []string{"LOST"}}
	var out strings.Builder
	writeHeader(&out, o, base)
	writeRow(&out, o, "turns", base, off)
	for _, want := range []string{"| off | one | two |", "| (nothing) | 0.550 | 0.750 |", "| turns | -0.100 ± 0.000 | +0.000 ± 0.141 broke LOST |"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("table does not contain %q:\n%s", want, out.String())
		}
	}
}
