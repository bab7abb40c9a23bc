package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/placement"
)

// A burst ends, and callers that it turned away come back while the engines are
// nearly full. Each late one that is placed has a new one refused, which comes
// back late in turn, and so on for as long as the load stays near capacity.
var _ = Describe("Late requests", func() {
	late := func() placement.Ask {
		a := small()
		a.Late = true
		return a
	}

	// fillAndFree fills the engines until a new request is refused, and then ends
	// so many of those that run.
	fillAndFree := func(b *placement.Board, freed int) {
		var running []*placement.Ticket
		for {
			t, _ := b.Choose(start, small())
			if t == nil {
				break
			}
			running = append(running, t)
		}
		for _, t := range running[:freed] {
			t.End(start, placement.Succeeded)
		}
	}

	It("yield while new ones are refused, but for a few", func() {
		b := board(4)
		const freed = 40
		fillAndFree(b, freed)
		placed := 0
		for range freed {
			if t, _ := b.Choose(start.Add(100*ms), late()); t != nil {
				placed++
			}
		}
		Expect(placed).To(BeNumerically(">=", 1), "they are not starved")
		Expect(placed).To(BeNumerically("<", freed/3))
		t, _ := b.Choose(start.Add(100*ms), small())
		Expect(t).NotTo(BeNil())
	})

	It("get what falls free once no new one has been refused for a while", func() {
		b := board(4)
		fillAndFree(b, 40)
		placed := 0
		for range 20 {
			if t, _ := b.Choose(start.Add(2*time.Second), late()); t != nil {
				placed++
			}
		}
		Expect(placed).To(Equal(20))
	})
})
