package loading_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/policy"
)

var _ = Describe("A load that may be incomplete", func() {
	counted := func(version, orders uint64) loading.Engine {
		return loading.Engine{Born: 7, Loaded: version, Orders: loading.Orders{Count: orders, Reported: true}}
	}

	// Guards against an engine that is taken for verified after it has loaded the same
	// version again, by an order that nobody vouches for.
	It("is not covered by the verification of another load of the version", func() {
		var v loading.Verification
		v.Set(counted(1, 3).After(2), loading.Verified)
		Expect(v.Of(counted(2, 4))).To(Equal(loading.Verified))
		Expect(v.Of(counted(2, 5))).To(Equal(loading.Unverified))
		other := counted(2, 4)
		other.Born = 8
		Expect(v.Of(other)).To(Equal(loading.Unverified))
		Expect(v.Supersedes(counted(1, 3))).To(BeTrue())
		v.Reset(counted(0, 0))
		Expect(v.Of(counted(2, 4))).To(Equal(loading.Unverified))
	})

	// Guards against an engine that stays out of service with incomplete weights of the
	// wanted version, or waits for its turn with incomplete weights of another one.
	It("is replaced at once, also by the same version", func() {
		p := loading.NewPlan("a", within, policy.Disabled{})
		p.SetMembers([]fleet.InstanceID{"a", "b", "c"})
		p.AddWanted(known(2, 0))
		p.MarkStaged(at(0), 2)
		for _, loaded := range []uint64{1, 2} {
			e := loading.Engine{Loaded: loaded, MustReload: true}
			Expect(p.IsReloading(e)).To(BeTrue())
			Expect(p.Next(at(0), e, 0)).To(Equal(loading.Order), "version %d is loaded", loaded)
		}
		Expect(p.Next(at(0), loading.Engine{Loaded: 2}, 0)).To(Equal(loading.Idle))
	})
})
