package main

import (
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// options select the benchmark runs.
type options struct {
	bench              string
	sites, days, seeds []string
	only               []string
	jobs               int
	// commit is the commit to measure. It is fixed at the start, so that later
	// commits to the repository do not affect the runs.
	commit string
}

// benchRun is one simulated day on one site with one seed.
type benchRun struct{ site, day, seed string }

// result is the result of a benchmark run.
type result struct {
	score      float64
	violations []string // names of the violated rules
}

const (
	mechanismFile = "deploy/mechanisms.ini"
	deployFile    = "deploy/system.toml"
	// listCommand prints the mechanisms, one per line: the name, a tab and other
	// text.
	listCommand = "go run ./cmd/chivespindled platform mechanisms"
)

// run writes a table with the results of the runs with all mechanisms on and of
// those with each mechanism switched off.
func run(o options, w io.Writer) error {
	names, err := mechanismNames(o.only)
	if err != nil {
		return err
	}
	if o.commit, err = headCommit(); err != nil {
		return err
	}
	root, err := os.MkdirTemp("", "ablation")
	if err != nil {
		return err
	}
	defer os.RemoveAll(root)
	runs := o.benchRuns()
	base, err := runVariant(o, root, "", runs)
	if err != nil {
		return err
	}
	writeHeader(w, o, base)
	for _, name := range names {
		results, err := runVariant(o, root, name, runs)
		if err != nil {
			return err
		}
		writeRow(w, o, name, base, results)
	}
	return nil
}

func (o options) benchRuns() []benchRun {
	var all []benchRun
	for _, site := range o.sites {
		for _, day := range o.days {
			for _, seed := range o.seeds {
				all = append(all, benchRun{site, day, seed})
			}
		}
	}
	return all
}

// mechanismNames returns the names in only or, if it is empty, those that the
// program under test prints, so that the list is not duplicated here.
func mechanismNames(only []string) ([]string, error) {
	if len(only) > 0 {
		return only, nil
	}
	args := strings.Fields(listCommand)
	out, err := exec.Command(args[0], args[1:]...).Output()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", listCommand, err)
	}
	var names []string
	for line := range strings.Lines(string(out)) {
		name, _, _ := strings.Cut(line, "\t")
		names = append(names, name)
	}
	return names, nil
}

// runVariant performs all runs with one mechanism switched off, which off names,
// or with all mechanisms on if off is empty.
func runVariant(o options, root, off string, runs []benchRun) (map[benchRun]result, error) {
	// All variants use the same path, so that the compiler's cache entries can
	// be reused.
	dir := filepath.Join(root, "tree")
	if err := exec.Command("git", "clone", "--quiet", "--shared", ".", dir).Run(); err != nil {
		return nil, fmt.Errorf("clone the repository: %w", err)
	}
	if err := command("git", dir, "checkout", "--quiet", o.commit).Run(); err != nil {
		return nil, fmt.Errorf("check out %s: %w", o.commit, err)
	}
	defer os.RemoveAll(dir)
	if off != "" {
		if err := switchOff(dir, off); err != nil {
			return nil, err
		}
	}
	if out, err := command(o.bench, dir, "build").CombinedOutput(); err != nil {
		return nil, fmt.Errorf("build: %w: %s", err, out)
	}
	results, err := runAll(o, dir, off, runs)
	if err != nil {
		return nil, err
	}
	return results, copyNewJournalEntries(dir)
}

// copyNewJournalEntries copies the files that the runs added to the journal into
// the journal of the working directory. Existing files are not overwritten.
func copyNewJournalEntries(dir string) error {
	const journal = "journal"
	from := filepath.Join(dir, journal)
	return filepath.WalkDir(from, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return os.MkdirAll(name, 0o755)
		}
		if _, err := os.Stat(name); err == nil {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(name, data, 0o644)
	})
}

func headCommit() (string, error) {
	out, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		return "", fmt.Errorf("determine the last commit: %w", err)
	}
	return strings.TrimSpace(string(out)), nil
}

// command returns a command that runs the program in a directory.
func command(program, dir string, args ...string) *exec.Cmd {
	cmd := exec.Command(program, args...)
	cmd.Dir = dir
	return cmd
}

// switchOff writes a configuration file that switches the mechanism off, and
// adds its flag to the start commands of both roles.
func switchOff(dir, name string) error {
	if err := os.WriteFile(filepath.Join(dir, mechanismFile), []byte("[mechanisms]\n"+name+" = off\n"), 0o644); err != nil {
		return err
	}
	path := filepath.Join(dir, deployFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	updated := string(text)
	for _, role := range []string{"entry", "agent"} {
		updated = strings.ReplaceAll(updated, "platform "+role+`"`, "platform "+role+" --mechanisms "+mechanismFile+`"`)
	}
	return os.WriteFile(path, []byte(updated), 0o644)
}

// runAll performs the runs, at most o.jobs at a time. It returns the error of the
// run that failed last, if any.
func runAll(o options, dir, off string, runs []benchRun) (map[benchRun]result, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var lastErr error
	results := make(map[benchRun]result, len(runs))
	slots := make(chan struct{}, o.jobs)
	for i, r := range runs {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; wg.Done() }()
			got, err := runOne(o, dir, off, fmt.Sprintf("report-%d.json", i), r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			results[r] = got
		}()
	}
	wg.Wait()
	return results, lastErr
}

// report holds the fields of a run's report that are used here.
type report struct {
	Score      float64        `json:"G"`
	Violations map[string]any `json:"breaks"`
}

// runOne performs one run and reads its report. The exit status is ignored if
// the program has written a report.
func runOne(o options, dir, off, reportName string, r benchRun) (result, error) {
	path := filepath.Join(dir, reportName)
	args := []string{"run", r.site, r.day, "--report", path, "--why", "ablation, off: " + off}
	if r.seed != "0" {
		args = append(args, "--seed", r.seed)
	}
	out, err := command(o.bench, dir, args...).CombinedOutput()
	data, readErr := os.ReadFile(path)
	if readErr != nil {
		return result{}, fmt.Errorf("%v: %v: %s", r, err, tail(out))
	}
	var rep report
	if err := json.Unmarshal(data, &rep); err != nil {
		return result{}, fmt.Errorf("%v: parse report: %w", r, err)
	}
	got := result{score: rep.Score}
	for rule := range rep.Violations {
		got.violations = append(got.violations, rule)
	}
	return got, nil
}

// tail returns the end of a command's output, for error messages.
func tail(out []byte) []byte {
	const maxBytes = 500
	return out[max(0, len(out)-maxBytes):]
}
