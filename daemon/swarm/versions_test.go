package swarm_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/daemon/internal/daemontest"
)

var _ = Describe("A version", func() {
	// The engine's stage rejects all chunks for a while. The agent slows its
	// fetches down instead of fetching the same chunks from the origin
	// repeatedly; once the stage accepts chunks, the version becomes complete.
	It("waits while the stage rejects all chunks", func() {
		m := newModel("r1", 4)
		from := sources{origin: daemontest.NewSource(m), store: daemontest.NewSource(m)}
		stage := daemontest.NewStage()
		stage.SetRejecting(true)
		a := start("agent-1", stage, from)
		a.fetch(m, nil)
		Eventually(func() int { return len(from.origin.Fetches()) }).Should(BeNumerically(">", 2))
		Expect(a.completions()).To(BeEmpty())
		stage.SetRejecting(false)
		a.expectComplete(m)
		Expect(len(from.origin.Fetches())).To(BeNumerically("<=", 14), "the limit of 3.5 copies")
	})

	// The engine restarts and loses what it had staged. The agent discards what
	// it knew about the version, fetches it again and requests every chunk once
	// more.
	It("is fetched again after a restart of the engine", func() {
		m := newModel("r1", 4)
		from := sources{origin: daemontest.NewSource(m)}
		a := start("agent-1", daemontest.NewStage(), from)
		a.fetch(m, nil)
		a.expectComplete(m)
		a.stage.Clear()
		a.OnLoop(func(time.Time) { a.swarm.Reset() })
		a.fetch(m, nil)
		Eventually(a.completions).Should(HaveLen(2))
		Expect(a.stage.Holds(m)).To(BeTrue())
		Expect(from.origin.Fetches()).To(HaveLen(8))
	})

	// The agent restarts while the engine continues to run with all chunks
	// staged. The agent asks the stage and fetches no chunk.
	//
	// Without asking the stage what it holds, every chunk is fetched from the
	// origin.
	It("that is completely staged is not fetched after a restart of the agent", func() {
		m := newModel("r1", 4)
		stage := daemontest.NewStage()
		stage.Fill(m)
		from := sources{origin: daemontest.NewSource(m)}
		a := start("agent-1", stage, from)
		a.fetch(m, nil)
		a.expectComplete(m)
		Expect(from.origin.Fetches()).To(BeEmpty())
		Expect(stage.Puts()).To(BeZero())
	})

	// As above, with a stage that held half of the chunks when the agent ended.
	It("that is partly staged is fetched only for the missing chunks", func() {
		m := newModel("r1", 6)
		stage := daemontest.NewStage()
		stage.Fill(m, 0, 3, 5)
		from := sources{origin: daemontest.NewSource(m)}
		a := start("agent-1", stage, from)
		a.fetch(m, nil)
		a.expectComplete(m)
		Expect(from.origin.Fetches()).To(HaveLen(3))
	})

	// The operator configures another version while the first one is being
	// fetched. Its transfers end at once, its chunks are reused where the bytes
	// are equal, and only new chunks are fetched from the origin.
	//
	// Without cancelling the running transfers, the blocked one continues.
	// Without reuse, every chunk is fetched from the origin again.
	It("is cancelled when a newer one is wanted, which reuses its equal chunks", func() {
		shared := daemontest.RandomChunks(4, chunkBytes)
		previous := daemontest.NewModel("r1", append(daemontest.RandomChunks(2, chunkBytes), shared...)...)
		newer := daemontest.NewModel("r2", append(daemontest.RandomChunks(1, chunkBytes), shared...)...)
		from := sources{origin: daemontest.NewSource(previous, newer)}
		cancelled := make(chan struct{})
		from.origin.SetFault(func(ctx context.Context, fetch daemontest.Fetch) error {
			if fetch.Manifest != previous.Version.Manifest || fetch.Chunk != 0 {
				return nil
			}
			<-ctx.Done()
			close(cancelled)
			return ctx.Err()
		})
		a := start("agent-1", daemontest.NewStage(), from)
		a.fetch(previous, nil)
		Eventually(a.stage.Puts).Should(Equal(5), "all chunks but the blocked one are staged")
		a.OnLoop(func(time.Time) { a.swarm.Stop(previous.Version.Manifest) })
		Eventually(cancelled).Should(BeClosed(), "the transfer was cancelled")
		a.fetch(newer, nil, previous)
		a.expectComplete(newer)
		var fetched []int
		for _, fetch := range from.origin.Fetches() {
			if fetch.Manifest == newer.Version.Manifest {
				fetched = append(fetched, fetch.Chunk)
			}
		}
		Expect(fetched).To(Equal([]int{0}))
		Expect(a.completions()).NotTo(ContainElement(previous.Version))
	})

	// The operator publishes a version with a wrong digest, which no source has,
	// and corrects it. The agents stop searching for the wrong one.
	//
	// Guards against a search that continues beside the correct version, ten
	// times per second at each agent.
	It("that is no longer wanted is no longer searched for", func() {
		wrong, right := newModel("typo", 1), newModel("r1", 2)
		from := sources{origin: daemontest.NewSource(right)}
		requested, cancelled := make(chan struct{}), make(chan struct{})
		from.origin.SetFault(func(ctx context.Context, fetch daemontest.Fetch) error {
			if fetch.Manifest == right.Version.Manifest {
				return nil
			}
			close(requested)
			<-ctx.Done()
			close(cancelled)
			return ctx.Err()
		})
		a := start("agent-1", daemontest.NewStage(), from)
		a.fetch(wrong, nil)
		Eventually(requested).Should(BeClosed())
		a.OnLoop(func(time.Time) { a.swarm.Stop(wrong.Version.Manifest) })
		Eventually(cancelled).Should(BeClosed())
		a.fetch(right, nil)
		a.expectComplete(right)
		a.OnLoop(func(time.Time) {
			Expect(a.swarm.Progress()).To(ConsistOf(HaveField("Version", right.Version)))
		})
	})
})
