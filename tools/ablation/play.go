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

// options say what is played.
type options struct {
	bench              string
	sites, days, seeds []string
	only               []string
	jobs               int
	// commit is what is played, whatever is committed meanwhile.
	commit string
}

// play is one day on one site with one seed.
type play struct{ site, day, seed string }

// result is what a play was worth; broken names the rules that it broke.
type result struct {
	worth  float64
	broken []string
}

const (
	mechanismFile = "deploy/mechanisms.ini"
	deployFile    = "deploy/system.toml"
	// listCommand prints the mechanisms, one a line, name first.
	listCommand = "go run ./cmd/chivespindled platform mechanisms"
)

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
	plays := o.plays()
	base, err := variant(o, root, "", plays)
	if err != nil {
		return err
	}
	writeHead(w, o, base)
	for _, name := range names {
		results, err := variant(o, root, name, plays)
		if err != nil {
			return err
		}
		writeRow(w, o, name, base, results)
	}
	return nil
}

func (o options) plays() []play {
	var all []play
	for _, site := range o.sites {
		for _, day := range o.days {
			for _, seed := range o.seeds {
				all = append(all, play{site, day, seed})
			}
		}
	}
	return all
}

// mechanismNames asks the program, so that the list stands once.
func mechanismNames(only []string) ([]string, error) {
	if len(only) > 0 {
		return only, nil
	}
	words := strings.Fields(listCommand)
	out, err := exec.Command(words[0], words[1:]...).Output()
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

// variant plays everything with one mechanism off; none with an empty name.
func variant(o options, root, off string, plays []play) (map[play]result, error) {
	// One path for all variants: the compiler's cache knows what it built there.
	dir := filepath.Join(root, "tree")
	if err := exec.Command("git", "clone", "--quiet", "--shared", ".", dir).Run(); err != nil {
		return nil, fmt.Errorf("copy of the repository: %w", err)
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
	results, err := playAll(o, dir, off, plays)
	if err != nil {
		return nil, err
	}
	return results, keepJournal(dir)
}

// keepJournal copies what the plays added to the journal.
func keepJournal(dir string) error {
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
		return "", fmt.Errorf("last commit: %w", err)
	}
	return strings.TrimSpace(string(out)), nil
}

func command(bench, dir string, words ...string) *exec.Cmd {
	c := exec.Command(bench, words...)
	c.Dir = dir
	return c
}

// switchOff has both roles read a file that switches the mechanism off.
func switchOff(dir, name string) error {
	if err := os.WriteFile(filepath.Join(dir, mechanismFile), []byte("[mechanisms]\n"+name+" = off\n"), 0o644); err != nil {
		return err
	}
	path := filepath.Join(dir, deployFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	changed := string(text)
	for _, role := range []string{"entry", "agent"} {
		changed = strings.ReplaceAll(changed, "platform "+role+`"`, "platform "+role+" --mechanisms "+mechanismFile+`"`)
	}
	return os.WriteFile(path, []byte(changed), 0o644)
}

func playAll(o options, dir, off string, plays []play) (map[play]result, error) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failed error
	results := make(map[play]result, len(plays))
	slots := make(chan struct{}, o.jobs)
	for i, p := range plays {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; wait.Done() }()
			r, err := playOne(o, dir, off, fmt.Sprintf("report-%d.json", i), p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			results[p] = r
		}()
	}
	wait.Wait()
	return results, failed
}

// report is what is read of a play's report.
type report struct {
	Worth  float64        `json:"G"`
	Breaks map[string]any `json:"breaks"`
}

func playOne(o options, dir, off, name string, p play) (result, error) {
	path := filepath.Join(dir, name)
	words := []string{"run", p.site, p.day, "--report", path, "--why", "ablation, off: " + off}
	if p.seed != "0" {
		words = append(words, "--seed", p.seed)
	}
	out, err := command(o.bench, dir, words...).CombinedOutput()
	data, readErr := os.ReadFile(path)
	if readErr != nil {
		return result{}, fmt.Errorf("%v: %v: %s", p, err, tail(out))
	}
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return result{}, fmt.Errorf("%v: report: %w", p, err)
	}
	played := result{worth: r.Worth}
	for rule := range r.Breaks {
		played.broken = append(played.broken, rule)
	}
	return played, nil
}

func tail(out []byte) []byte {
	const most = 500
	return out[max(0, len(out)-most):]
}
