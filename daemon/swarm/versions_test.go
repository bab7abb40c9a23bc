package swarm_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/daemon/internal/daemontest"
)

var _ = Describe("A version", func() {
	// The stage of the engine takes nothing for a while. The agent holds its
	// fetches back and does not draw the same chunks from the origin again and
	// again for nothing; once the stage takes chunks the version becomes whole.
	It("waits for a stage that takes nothing", func() {
		m := newModel("r1", 4)
		from := sources{origin: daemontest.NewSource(m), store: daemontest.NewSource(m)}
		stage := daemontest.NewStage()
		stage.Refuse(true)
		h := start("agent-1", stage, from)
		h.gather(m, nil)
		Eventually(func() int { return len(from.origin.Drawn()) }).Should(BeNumerically(">", 2))
		Expect(h.completions()).To(BeEmpty())
		stage.Refuse(false)
		h.expectWhole(m)
		Expect(len(from.origin.Drawn())).To(BeNumerically("<=", 14), "the limit of 3.5 copies")
	})

	// The engine restarts, and what it had staged is gone with it. The agent
	// forgets that it held the version, gathers it anew and draws every chunk
	// once more.
	It("is fetched again after the engine's restart", func() {
		m := newModel("r1", 4)
		from := sources{origin: daemontest.NewSource(m)}
		h := start("agent-1", daemontest.NewStage(), from)
		h.gather(m, nil)
		h.expectWhole(m)
		h.stage.Clear()
		h.OnLoop(func(time.Time) { h.swarm.Forget() })
		h.gather(m, nil)
		Eventually(h.completions).Should(HaveLen(2))
		Expect(h.stage.Holds(m)).To(BeTrue())
		Expect(from.origin.Drawn()).To(HaveLen(8))
	})

	// The agent restarts beside an engine that goes on and has everything staged.
	// It asks the stage and fetches no chunk at all.
	// Seen with the stage not asked what it holds: every chunk left the origin.
	It("that the stage holds whole is not fetched after the agent's restart", func() {
		m := newModel("r1", 4)
		stage := daemontest.NewStage()
		stage.Fill(m)
		from := sources{origin: daemontest.NewSource(m)}
		h := start("agent-1", stage, from)
		h.gather(m, nil)
		h.expectWhole(m)
		Expect(from.origin.Drawn()).To(BeEmpty())
		Expect(stage.Puts()).To(BeZero())
	})

	// The same with a stage that was half full when the agent ended.
	It("that the stage holds in part is fetched for the rest", func() {
		m := newModel("r1", 6)
		stage := daemontest.NewStage()
		stage.Fill(m, 0, 3, 5)
		from := sources{origin: daemontest.NewSource(m)}
		h := start("agent-1", stage, from)
		h.gather(m, nil)
		h.expectWhole(m)
		Expect(from.origin.Drawn()).To(HaveLen(3))
	})

	// The operator names another version while the first one is being fetched.
	// Its transfers end at once, what it has is reused where the bytes are equal,
	// and only what is new leaves the origin.
	// Seen with the running transfers left alone: the one went on. Seen with
	// nothing reused: every chunk left the origin again.
	It("stops when a newer one is wanted, and serves it with equal chunks", func() {
		shared := daemontest.RandomChunks(4, chunkBytes)
		former := daemontest.NewModel("r1", append(daemontest.RandomChunks(2, chunkBytes), shared...)...)
		newer := daemontest.NewModel("r2", append(daemontest.RandomChunks(1, chunkBytes), shared...)...)
		from := sources{origin: daemontest.NewSource(former, newer)}
		given := make(chan struct{})
		from.origin.Fail(func(ctx context.Context, draw daemontest.Draw) error {
			if draw.Manifest != former.Version.Manifest || draw.Chunk != 0 {
				return nil
			}
			<-ctx.Done()
			close(given)
			return ctx.Err()
		})
		h := start("agent-1", daemontest.NewStage(), from)
		h.gather(former, nil)
		Eventually(h.stage.Puts).Should(Equal(5), "all but the one that does not come")
		h.OnLoop(func(time.Time) { h.swarm.Stop(former.Version.Manifest) })
		Eventually(given).Should(BeClosed(), "the transfer was given up")
		h.gather(newer, nil, former)
		h.expectWhole(newer)
		var drawn []int
		for _, draw := range from.origin.Drawn() {
			if draw.Manifest == newer.Version.Manifest {
				drawn = append(drawn, draw.Chunk)
			}
		}
		Expect(drawn).To(Equal([]int{0}))
		Expect(h.completions()).NotTo(ContainElement(former.Version))
	})

	// The operator published a version with a wrong digest, which no source has,
	// and mends it. The agents stop asking for the wrong one.
	// Seen before the mend: the search went on beside the right version, ten
	// times a second at each agent.
	It("that is not wanted any more is not searched for any more", func() {
		wrong, right := newModel("typo", 1), newModel("r1", 2)
		from := sources{origin: daemontest.NewSource(right)}
		asked, givenUp := make(chan struct{}), make(chan struct{})
		from.origin.Fail(func(ctx context.Context, draw daemontest.Draw) error {
			if draw.Manifest == right.Version.Manifest {
				return nil
			}
			close(asked)
			<-ctx.Done()
			close(givenUp)
			return ctx.Err()
		})
		h := start("agent-1", daemontest.NewStage(), from)
		h.gather(wrong, nil)
		Eventually(asked).Should(BeClosed())
		h.OnLoop(func(time.Time) { h.swarm.Stop(wrong.Version.Manifest) })
		Eventually(givenUp).Should(BeClosed())
		h.gather(right, nil)
		h.expectWhole(right)
		h.OnLoop(func(time.Time) {
			Expect(h.swarm.Progress()).To(ConsistOf(HaveField("Version", right.Version)))
		})
	})
})
