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

// start starts an engine and a client for it, both for the duration of the
// spec.
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

// withStallTimeout shortens a client's progress timeout. The timeout of the first
// line is long, so that only the progress timeout can end a stalled response.
func withStallTimeout(pause time.Duration) func(*adapter.Options) {
	return func(o *adapter.Options) {
		o.StallTimeout = pause
		o.FirstLineTimeout = time.Hour
	}
}

// release is a version with its weights.
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

// stage stages the manifest and all chunks of r.
func stage(ctx context.Context, client *adapter.Client, r release) {
	GinkgoHelper()
	Expect(client.PutManifest(ctx, r.version.Manifest, r.manifest)).To(Succeed())
	for i, chunk := range r.chunks {
		Expect(client.Put(ctx, r.version.Manifest, i, chunk)).To(Succeed())
	}
}

// load stages r and orders the engine to load it.
func load(ctx context.Context, client *adapter.Client, r release) {
	GinkgoHelper()
	stage(ctx, client, r)
	Expect(client.Order(ctx, serving.Order{Fence: 1, Version: r.version})).To(Succeed())
}

func newCall(id, prompt string, tokens int) serving.Call {
	GinkgoHelper()
	body, err := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens})
	Expect(err).NotTo(HaveOccurred())
	return serving.Call{ID: id, IdempotencyKey: "key-" + id, Priority: 3, Body: body}
}

// result is the result of one call.
type result struct {
	response serving.Response
	err      error
	tokens   []string
	last     bool // the last line was forwarded
}

// doCall makes a call and reads its response.
func doCall(ctx context.Context, client *adapter.Client, call serving.Call) result {
	var r result
	r.response, r.err = client.Do(ctx, call, func(p serving.Piece) error {
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

// startCall starts a call and returns a channel that receives its result.
func startCall(ctx context.Context, client *adapter.Client, call serving.Call) <-chan result {
	done := make(chan result, 1)
	go func() { done <- doCall(ctx, client, call) }()
	return done
}

// manualClock is a backend.Clock that the spec advances.
type manualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
}

type timer struct {
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
	c.timers = append(c.timers, timer{at: c.now.Add(pause), ch: ch})
	return ch
}

// pendingTimers returns the number of pending timers.
func (c *manualClock) pendingTimers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

func (c *manualClock) advance(pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(pause)
	kept := c.timers[:0]
	for _, a := range c.timers {
		if a.at.After(c.now) {
			kept = append(kept, a)
			continue
		}
		a.ch <- c.now
	}
	c.timers = kept
}
