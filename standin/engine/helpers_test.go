package engine_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	adapter "chivespindle.example/adapters/engine"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
	"chivespindle.example/core/weights"
	"chivespindle.example/standin/engine"
)

// start runs an engine and a client of it until the spec ends.
func start(options engine.Options, clientOptions ...func(*adapter.Options)) (*engine.Engine, *adapter.Client) {
	GinkgoHelper()
	e := engine.New(options)
	addr, err := e.Start("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	o := adapter.Options{Addr: addr}
	for _, set := range clientOptions {
		set(&o)
	}
	return e, adapter.New(o)
}

// stallAfter shortens a client's progress deadline. The wait for the first
// line is long, so that no other clock can end a stalled answer.
func stallAfter(pause time.Duration) func(*adapter.Options) {
	return func(o *adapter.Options) {
		o.StallTimeout = pause
		o.FirstLineTimeout = time.Hour
	}
}

// release is a version and its bytes.
type release struct {
	version  fleet.Version
	manifest []byte
	chunks   [][]byte
}

func newRelease(name string) release {
	GinkgoHelper()
	const chunkBytes = 16
	blob := []byte(strings.Repeat(name+" ", 20))
	m := weights.Split("assist", blob, chunkBytes)
	raw, digest, err := m.Encode()
	Expect(err).NotTo(HaveOccurred())
	r := release{version: fleet.Version{Name: name, Manifest: digest}, manifest: raw}
	for start := 0; start < len(blob); start += chunkBytes {
		r.chunks = append(r.chunks, blob[start:min(start+chunkBytes, len(blob))])
	}
	return r
}

// stage puts all of r.
func stage(ctx context.Context, client *adapter.Client, r release) {
	GinkgoHelper()
	Expect(client.PutManifest(ctx, r.version.Manifest, r.manifest)).To(Succeed())
	for i, chunk := range r.chunks {
		Expect(client.Put(ctx, r.version.Manifest, i, chunk)).To(Succeed())
	}
}

// load stages r and has it loaded by an engine without a load time.
func load(ctx context.Context, client *adapter.Client, r release) {
	GinkgoHelper()
	stage(ctx, client, r)
	Expect(client.Order(ctx, serving.Order{Fence: 1, Version: r.version})).To(Succeed())
}

func callOf(id, prompt string, tokens int) serving.Call {
	GinkgoHelper()
	body, err := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens})
	Expect(err).NotTo(HaveOccurred())
	return serving.Call{ID: id, IdempotencyKey: "key-" + id, Priority: 3, Body: body}
}

// result is what one call came to.
type result struct {
	answer serving.Response
	err    error
	tokens []string
	last   bool // the last line was handed over
}

// do makes a call and reads its pieces.
func do(ctx context.Context, client *adapter.Client, call serving.Call) result {
	var r result
	r.answer, r.err = client.Do(ctx, call, func(p serving.Piece) error {
		var l struct {
			Token *string
			Done  bool
		}
		if err := json.Unmarshal(p.Data, &l); err != nil {
			return failure.Corrupt.Wrap(err, "piece")
		}
		if l.Token != nil {
			r.tokens = append(r.tokens, *l.Token)
		}
		r.last = r.last || l.Done
		return nil
	})
	return r
}

// running starts a call and returns a channel that will hold its result.
func running(ctx context.Context, client *adapter.Client, call serving.Call) <-chan result {
	done := make(chan result, 1)
	go func() { done <- do(ctx, client, call) }()
	return done
}

// manualClock is a backend.Clock that the spec moves.
type manualClock struct {
	mu     sync.Mutex
	now    time.Time
	alarms []alarm
}

type alarm struct {
	at time.Time
	ch chan time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) After(pause time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan time.Time, 1)
	c.alarms = append(c.alarms, alarm{at: c.now.Add(pause), ch: ch})
	return ch
}

// pending returns how many wait for the clock.
func (c *manualClock) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.alarms)
}

func (c *manualClock) advance(pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(pause)
	kept := c.alarms[:0]
	for _, a := range c.alarms {
		if a.at.After(c.now) {
			kept = append(kept, a)
			continue
		}
		a.ch <- c.now
	}
	c.alarms = kept
}
