// Command demo runs the whole path once on loopback: two entries, agents of
// two model services of which one depends on the other, and a plain service,
// as separate processes beside the stand-ins. The version changes while
// requests flow. Its last line counts what the stand-ins and the callers saw.
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
	bin := flag.String("bin", "bin", "folder of the built programs")
	keep := flag.String("keep", "", "keep settings, keys and logs in this folder")
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
	// settle bounds each wait for the fleet.
	settle = 20 * time.Second
	// flow is how long requests flow before and after the change.
	flow = 2 * time.Second
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
	return d.play()
}

// demo is one play.
type demo struct {
	fleet   *harness.Fleet
	entries []netip.AddrPort

	mu       sync.Mutex
	intended map[string]bool
}

func (d *demo) play() error {
	first, err := d.model("r1", 1)
	if err != nil {
		return err
	}
	second, err := d.model("r2", 2)
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
	say("fleet serves", "version", first.Version.Name, "instances", len(d.fleet.Engines)+len(d.fleet.PlainServices))
	client := callerclient.New(callerclient.Options{Seeds: d.entries, Near: lagos[0]})
	load := harness.StartLoad(client, harness.LoadSpec{
		ModelServices: []fleet.ServiceName{pool, assist}, PlainServices: []fleet.ServiceName{orders},
		Callers: 8, MaxTokens: 16, Deadline: 10 * time.Second, IsPublished: d.isIntended,
	})
	time.Sleep(flow)
	d.publish(second)
	changed := time.Now()
	if err := d.waitServing(second.Version); err != nil {
		return err
	}
	say("fleet changed over", "version", second.Version.Name, "took_ms", time.Since(changed).Milliseconds())
	time.Sleep(flow)
	return d.verdict(load.Stop(), second)
}

// verdict prints what was counted and fails if anything was broken.
func (d *demo) verdict(t harness.Tally, second platform.Model) error {
	copies := float64(d.fleet.Origin.ManifestBytesSent(second.Version.Manifest)) / float64(modelBytes)
	wrong := t.WrongVersion + d.fleet.WeightMismatches()
	say("callers saw", "refusals", t.NotRunAttempts, "unknown", t.UnknownAttempts, "wrong", t.Incorrect)
	fmt.Printf("msg=\"demo finished\" answers=%d lost=%d duplicates=%d wrong_version=%d origin_copies=%.2f instances=%d\n",
		t.Correct, t.Lost, d.fleet.Duplicates(), wrong, copies, len(d.fleet.Engines))
	if t.Correct == 0 || t.Lost+d.fleet.Duplicates()+wrong+t.Incorrect > 0 {
		return failure.Internal.New("the demo did not go as it should")
	}
	return nil
}

func say(event string, pairs ...any) {
	fmt.Printf("msg=%q", event)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Printf(" %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Println()
}

func (d *demo) model(name string, seed uint64) (platform.Model, error) {
	return d.fleet.AddModel(platform.ModelSpec{Name: name, Bytes: modelBytes, ChunkBytes: chunkBytes, Seed: seed})
}

// publish writes the operator's text.
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
			if _, err := d.fleet.StartAgent(id, lagos[i%len(lagos)], specOf(a.service)); err != nil {
				return err
			}
		}
	}
	return nil
}

func specOf(service fleet.ServiceName) harness.AgentSpec {
	if service == orders {
		return harness.AgentSpec{Service: service, Plain: &plainservice.Options{Delay: 5 * time.Millisecond}}
	}
	return harness.AgentSpec{Service: service, Engine: &engine.Options{
		Slots: 8, MaxWaiting: 8, TokenTime: 2 * time.Millisecond, LoadTime: 300 * time.Millisecond, CheckFence: true,
	}}
}

// waitServing waits until every engine has loaded the version.
func (d *demo) waitServing(v fleet.Version) error {
	deadline := time.Now().Add(settle)
	for {
		behind := d.behind(v)
		if len(behind) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return failure.Timeout.New("%s is not served after %s by %s", v.Name, settle, strings.Join(behind, ", "))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *demo) behind(v fleet.Version) []string {
	var ids []string
	for id, e := range d.fleet.Engines {
		if s := e.Status(); s.Loaded != v || s.Loading {
			ids = append(ids, string(id))
		}
	}
	return ids
}
