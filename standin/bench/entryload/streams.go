package entryload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/core/failure"
	"chivespindle.example/standin/bench/slopes"
	"chivespindle.example/standin/bench/slopes/usage"
	"chivespindle.example/standin/harness"
)

const (
	// window is how long running streams are measured, while none starts or
	// ends.
	window = 5 * time.Second
	// warmUp lets the memory of new streams stabilize.
	warmUp = 2 * time.Second
)

// streamCounts returns the numbers of concurrent streams on the entry; the last
// is that of the target.
func streamCounts() []int {
	target := int(math.Round(slopes.SharesOf(slopes.Entries).Streams))
	return []int{target / 4, target / 2, target}
}

// streamUsage is the resource usage of the processes for a number of running
// streams.
type streamUsage struct {
	streams      int
	tokens       float64 // per second
	entry, agent usage.Reading
}

// Streams measures streams of one token per slopes.TokenTime: the CPU time and
// memory of the entry and of an agent by the number of concurrent streams.
func (f *Fleet) Streams() ([]slopes.Slope, error) {
	var all []streamUsage
	for _, n := range streamCounts() {
		s, err := f.stream(n)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return streamSlopes(all), nil
}

// stream keeps n streams running and measures their cost per second.
func (f *Fleet) stream(n int) (streamUsage, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var lines atomic.Int64
	var open sync.WaitGroup
	defer open.Wait()
	defer cancel()
	for range n {
		open.Go(func() { f.readStream(ctx, &lines) })
	}
	if err := waitUntil(settleTimeout, func() bool { return f.running() == n }); err != nil {
		return streamUsage{}, failure.Timeout.Wrap(err, "%d of %d streams run", f.running(), n)
	}
	time.Sleep(warmUp)
	before, err := f.readings()
	if err != nil {
		return streamUsage{}, err
	}
	counted, at := lines.Load(), time.Now()
	time.Sleep(window)
	after, err := f.readings()
	if err != nil {
		return streamUsage{}, err
	}
	seconds := time.Since(at).Seconds()
	s := streamUsage{streams: n, tokens: float64(lines.Load()-counted) / seconds}
	s.entry = perSecond(before[:1], after[:1], seconds)
	s.agent = perSecond(before[1:], after[1:], seconds)
	if running := f.running(); running != n {
		return s, failure.Unavailable.New("%d of %d streams still run at the end of the measurement", running, n)
	}
	return s, nil
}

// readStream requests a long response and counts its lines until ctx ends.
func (f *Fleet) readStream(ctx context.Context, lines *atomic.Int64) {
	const long = 1 << 14
	body, err := json.Marshal(harness.Prompt{Prompt: "fault log", MaxTokens: long})
	if err != nil {
		return
	}
	url := fmt.Sprintf("http://%s/v1/services/%s", f.entryAddr(), paced)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set(callerhttp.HeaderDeadline, "30m")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		lines.Add(1)
	}
}

// running returns the number of requests that the paced engines are running.
func (f *Fleet) running() int {
	sum := 0
	for _, p := range f.paced {
		sum += f.Engines[p.Instance.ID].Status().Load.Running
	}
	return sum
}

// readings returns the usage of the entry, followed by the paced agents.
func (f *Fleet) readings() ([]usage.Reading, error) {
	var all []usage.Reading
	for _, p := range append([]*harness.Process{f.entry}, f.paced...) {
		r, err := usage.Of(p.PID())
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}

// perSecond returns the mean CPU time per second and the mean memory at the end
// over the processes.
func perSecond(before, after []usage.Reading, seconds float64) usage.Reading {
	var mean usage.Reading
	n := float64(len(after))
	for i := range after {
		mean.CPU += time.Duration(float64(after[i].CPU-before[i].CPU) / n / seconds)
		mean.RSS += after[i].RSS / n
	}
	return mean
}

// streamSlopes converts the measurements to slopes.
func streamSlopes(all []streamUsage) []slopes.Slope {
	entryTarget := float64(streamCounts()[2])
	agentTarget := math.Round(slopes.SharesOf(slopes.Servers).Streams)
	entryCPU := slopes.Slope{Name: "entry_stream_cpu", Of: "running_answers", Unit: "ms/s", Target: entryTarget}
	entryRSS := slopes.Slope{Name: "entry_stream_rss", Of: "running_answers", Unit: "B", Target: entryTarget, Budget: slopes.MemoryBudget}
	agentCPU := slopes.Slope{Name: "agent_stream_cpu", Of: "running_answers", Unit: "ms/s", Target: agentTarget}
	agentRSS := slopes.Slope{Name: "agent_stream_rss", Of: "running_answers", Unit: "B", Target: agentTarget, Budget: slopes.MemoryBudget}
	tokens := slopes.Slope{Name: "entry_tokens", Of: "running_answers", Unit: "tokens/s", Target: entryTarget}
	for _, s := range all {
		onEntry, onAgent := float64(s.streams), float64(s.streams)/pacedServers
		entryCPU.Points = append(entryCPU.Points, slopes.Point{Size: onEntry, Value: ms(s.entry.CPU)})
		entryRSS.Points = append(entryRSS.Points, slopes.Point{Size: onEntry, Value: s.entry.RSS})
		agentCPU.Points = append(agentCPU.Points, slopes.Point{Size: onAgent, Value: ms(s.agent.CPU)})
		agentRSS.Points = append(agentRSS.Points, slopes.Point{Size: onAgent, Value: s.agent.RSS})
		tokens.Points = append(tokens.Points, slopes.Point{Size: onEntry, Value: s.tokens})
	}
	return []slopes.Slope{tokens, entryCPU, entryRSS, agentCPU, agentRSS}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
