// Command demo runs a complete system once on loopback addresses: two entries,
// the agents of two model services, one of which depends on the other, and the
// agents of a plain service, as separate processes, with the stand-ins. It changes
// the model version under load. The last line that it prints has the counts of the
// stand-ins and the callers.
package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/harness"
	"chivespindle.example/standin/plainservice"
	"chivespindle.example/standin/platform"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the built programs")
	keep := flag.String("keep", "", "keep settings, keys and logs in this directory")
	flag.Parse()
	if err := run(*bin, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

const (
	pool   fleet.ServiceName = "spindle-pool"
	assist fleet.ServiceName = "workshop-assist"
	orders fleet.ServiceName = "workshop-api"
)

const (
	modelBytes = 8 << 20
	chunkBytes = 256 << 10
	originRate = 40 << 20
	// waitTimeout limits each wait for the fleet.
	waitTimeout = 20 * time.Second
	// loadTime is how long the load runs before and after the change.
	loadTime = 2 * time.Second
)

var lagos = []fleet.Place{
	{Zone: "apapa-hall", Region: "lagos"},
	{Zone: "apapa-hall-2", Region: "lagos"},
}

func run(bin, keep string) error {
	if keep != "" {
		if err := os.MkdirAll(keep, 0o700); err != nil {
			return err
		}
	}
	f, err := harness.New(harness.Options{
		DaemonPath:           filepath.Join(bin, "chivespindled"),
		Dir:                  keep,
		OriginBytesPerSecond: originRate,
		TraceSpans:           true,
	})
	if err != nil {
		return err
	}
	defer f.Close()
	d := &demo{fleet: f, intended: make(map[string]bool)}
	return d.run()
}

// demo is one run of the demo.
type demo struct {
	fleet   *harness.Fleet
	entries []netip.AddrPort

	mu       sync.Mutex
	intended map[string]bool
}

func (d *demo) run() error {
	first, err := d.addModel("r1", 1)
	if err != nil {
		return err
	}
	second, err := d.addModel("r2", 2)
	if err != nil {
		return err
	}
	d.publish(first)
	if err := d.start(); err != nil {
		return err
	}
	if err := d.waitServing(first.Version); err != nil {
		return err
	}
	printEvent("fleet serves", "version", first.Version.Name, "instances", len(d.fleet.Engines)+len(d.fleet.PlainServices))
	client := callerclient.New(callerclient.Options{Seeds: d.entries, Place: lagos[0]})
	load := harness.StartLoad(client, harness.LoadSpec{
		ModelServices: []fleet.ServiceName{pool, assist}, PlainServices: []fleet.ServiceName{orders},
		Callers: 8, MaxTokens: 16, Deadline: 10 * time.Second, IsPublished: d.isIntended,
	})
	time.Sleep(loadTime)
	d.publish(second)
	changed := time.Now()
	if err := d.waitServing(second.Version); err != nil {
		return err
	}
	printEvent("fleet changed over", "version", second.Version.Name, "took_ms", time.Since(changed).Milliseconds())
	time.Sleep(loadTime)
	return d.printResults(load.Stop(), second)
}

// printResults prints the counts. It returns an error if there was no correct
// response, or if a response was lost, incorrect, duplicated or of a wrong version.
func (d *demo) printResults(t harness.Tally, second platform.Model) error {
	copies := float64(d.fleet.Origin.ManifestBytesSent(second.Version.Manifest)) / float64(modelBytes)
	wrong := t.WrongVersion + d.fleet.WeightMismatches()
	printEvent("callers saw", "refusals", t.NotRunAttempts, "unknown", t.UnknownAttempts, "wrong", t.Incorrect)
	fmt.Printf("msg=\"demo finished\" answers=%d lost=%d duplicates=%d wrong_version=%d origin_copies=%.2f instances=%d\n",
		t.Correct, t.Lost, d.fleet.Duplicates(), wrong, copies, len(d.fleet.Engines))
	if t.Correct == 0 || t.Lost+d.fleet.Duplicates()+wrong+t.Incorrect > 0 {
		return failure.Internal.New("the counts of the demo show a failure")
	}
	return nil
}

// printEvent prints a line with an event and key=value pairs.
func printEvent(event string, pairs ...any) {
	fmt.Printf("msg=%q", event)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Printf(" %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Println()
}

func (d *demo) addModel(name string, seed uint64) (platform.Model, error) {
	return d.fleet.AddModel(platform.ModelSpec{Name: name, Bytes: modelBytes, ChunkBytes: chunkBytes, Seed: seed})
}

// publish sets the operator's configuration with the version of m, and records
// the version as intended.
func (d *demo) publish(m platform.Model) {
	d.mu.Lock()
	d.intended[harness.FormatVersion(m.Version)] = true
	d.mu.Unlock()
	d.fleet.Config.SetConfig([]byte(fmt.Sprintf(`[fleet]
name = demo
[version %[1]s]
manifest = %[2]s
[service %[3]s]
kind = model
version = %[1]s
max_unavailable = 1
[service %[4]s]
kind = model
version = %[1]s
depends_on = %[3]s
[service %[5]s]
kind = plain
depends_on = %[4]s
`, m.Version.Name, m.Version.Manifest, pool, assist, orders)))
}

func (d *demo) isIntended(version string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.intended[version]
}

// start starts two entries and eight agents.
func (d *demo) start() error {
	for i, place := range lagos {
		p, err := d.fleet.StartEntry(fleet.InstanceID(fmt.Sprintf("entry-%d", i+1)), place)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, p.Instance.CallerAddr)
	}
	agents := []struct {
		service fleet.ServiceName
		count   int
	}{{pool, 4}, {assist, 2}, {orders, 2}}
	for _, a := range agents {
		for i := range a.count {
			id := fleet.InstanceID(fmt.Sprintf("%s-%d", a.service, i+1))
			if _, err := d.fleet.StartAgent(id, lagos[i%len(lagos)], agentSpec(a.service)); err != nil {
				return err
			}
		}
	}
	return nil
}

func agentSpec(service fleet.ServiceName) harness.AgentSpec {
	if service == orders {
		return harness.AgentSpec{Service: service, Plain: &plainservice.Options{Delay: 5 * time.Millisecond}}
	}
	return harness.AgentSpec{Service: service, Engine: &engine.Options{
		Slots: 8, MaxWaiting: 8, TokenTime: 2 * time.Millisecond, LoadTime: 300 * time.Millisecond, CheckFence: true,
	}}
}

// waitServing waits until every engine has loaded the version.
func (d *demo) waitServing(v fleet.Version) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		outdated := d.outdatedEngines(v)
		if len(outdated) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return failure.Timeout.New("%s is not served after %s by %s", v.Name, waitTimeout, strings.Join(outdated, ", "))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// outdatedEngines returns the IDs of the engines that have not loaded the version
// or are still loading.
func (d *demo) outdatedEngines(v fleet.Version) []string {
	var ids []string
	for id, e := range d.fleet.Engines {
		if s := e.Status(); s.Loaded != v || s.Loading {
			ids = append(ids, string(id))
		}
	}
	return ids
}
