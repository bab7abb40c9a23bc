package rollout_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/rollout"
)

func version(name string) fleet.Version {
	return fleet.Version{Name: name, Manifest: fleet.DigestOf([]byte(name))}
}

var (
	v1 = version("v1")
	v2 = version("v2")
)

func staged(id fleet.InstanceID, zone fleet.Zone) rollout.Replica {
	return rollout.Replica{ID: id, Place: fleet.Place{Zone: zone, Region: "r"}, State: gossip.StateStaged, Serving: v1, Target: v2}
}

var _ = Describe("Decide", func() {
	It("lets exactly max_unavailable replicas of each zone go", func() {
		replicas := []rollout.Replica{
			staged("a", "z1"), staged("b", "z1"), staged("c", "z1"), staged("d", "z2"),
		}
		gone := map[fleet.Zone]int{}
		for _, r := range replicas {
			d := rollout.Decide(rollout.Question{Self: r.ID, Target: v2, Replicas: replicas, MaxUnavailable: 1})
			if d.Go {
				gone[r.Zone]++
			}
		}
		Expect(gone).To(Equal(map[fleet.Zone]int{"z1": 1, "z2": 1}))
	})
})
