package revision_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/revision"
)

func TestRevision(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "revision")
}

// start is the start time of the process in every test.
var start = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// text returns a configuration that differs for each variant.
func text(variant string) []byte {
	return fmt.Appendf(nil, "[fleet]\nname = ffsan\n[service %s]\nkind = plain\n", variant)
}

func load(variant string) *fleettext.Fleet {
	f, err := fleettext.Load(revision.FileName, text(variant))
	if err != nil {
		panic(err)
	}
	return f
}

func digest(variant string) fleet.Digest { return load(variant).Digest() }

func platform(r revision.Revision, variant string) revision.Candidate {
	return revision.ReadDocument(revision.Document{Revision: r, Text: text(variant)}, nil)
}

func platformRefused(r revision.Revision) revision.Candidate {
	return revision.ReadDocument(revision.Document{Revision: r, Text: []byte("[fleet]\nname = ffsan\nsize = 3\n")}, nil)
}

func claim(peer fleet.InstanceID, r revision.Revision, variant string) revision.Claim {
	return revision.Claim{Peer: peer, Revision: r, Digest: digest(variant)}
}

func fromPeer(peer fleet.InstanceID, r revision.Revision, variant string) revision.Candidate {
	f := load(variant)
	c, err := revision.ReadDelta(claim(peer, r, variant), nil, fleettext.NewDelta(fleettext.Outline{}, f))
	if err != nil {
		panic(err)
	}
	return c
}

// tickUntil advances the clock without pauses until a configuration is
// activated or the time is over.
func tickUntil(k *revision.Selector, seconds float64) revision.Decision {
	var last revision.Decision
	for now := 0.0; now <= seconds; now += 0.5 {
		last = k.Tick(at(now))
		if last.Reason == revision.Accepted {
			return last
		}
	}
	return last
}

func inForce(k *revision.Selector) revision.Revision {
	state, _ := k.Active()
	return state.Revision
}
