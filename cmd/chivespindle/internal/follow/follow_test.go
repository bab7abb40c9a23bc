package follow_test

import (
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/cmd/chivespindle/internal/follow"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/status"
)

var (
	r2 = fleet.Version{Name: "r2", Manifest: fleet.DigestOf([]byte("r2"))}
	r3 = fleet.Version{Name: "r3", Manifest: fleet.DigestOf([]byte("r3"))}
)

func replica(id fleet.InstanceID, serving fleet.Version) status.Member {
	return status.Member{ID: id, Role: fleet.RoleAgent, Service: "pool", State: gossip.StateServing, Serving: serving, Revision: 4}
}

// newStatus returns the status of an entry with active revision 4, whose target
// is r3.
func newStatus(replicas ...status.Member) *status.Entry {
	return &status.Entry{
		ID: "entry-1", Revision: 4, Config: status.Config{Name: "demo", PlatformRevision: 4},
		Services: []status.Service{{Service: "pool", Target: r3}},
		Fleet:    replicas,
	}
}

// edited returns the status after an edit.
func edited(s *status.Entry, edit func(*status.Entry)) *status.Entry {
	edit(s)
	return s
}

var _ = DescribeTable("Done",
	func(options follow.Options, s *status.Entry, done bool) {
		f := follow.New(options)
		f.Observe(s)
		Expect(f.Done()).To(Equal(done), f.Pending())
	},
	Entry("all serve the target", follow.Options{}, newStatus(replica("a", r3), replica("b", r3)), true),
	Entry("one serves the previous version", follow.Options{}, newStatus(replica("a", r3), replica("b", r2)), false),
	Entry("one serves another manifest under the same name", follow.Options{},
		newStatus(replica("a", r3), replica("b", fleet.Version{Name: "r3"})), false),
	Entry("one is silent", follow.Options{}, newStatus(replica("a", r3),
		status.Member{ID: "b", Role: fleet.RoleAgent, Service: "pool", State: gossip.StateServing, Serving: r3, Silent: true}), false),
	Entry("one is leaving", follow.Options{}, newStatus(replica("a", r3),
		status.Member{ID: "b", Role: fleet.RoleAgent, Service: "pool", State: gossip.StateServing, Serving: r2, Leaving: true}), true),
	Entry("the only one is leaving", follow.Options{}, newStatus(
		status.Member{ID: "b", Role: fleet.RoleAgent, Service: "pool", State: gossip.StateServing, Serving: r3, Leaving: true}), false),
	Entry("an entry that knows no replica yet", follow.Options{}, newStatus(), false),
	Entry("an entry without a configuration", follow.Options{}, &status.Entry{ID: "entry-1"}, false),
	Entry("a service that is not followed has not finished", follow.Options{Services: []fleet.ServiceName{"pool"}},
		edited(newStatus(replica("a", r3)), func(s *status.Entry) {
			s.Services = append(s.Services, status.Service{Service: "other", Target: r3})
		}), true),
	Entry("a plain service serves", follow.Options{},
		edited(newStatus(replica("a", fleet.Version{})), func(s *status.Entry) { s.Services[0].Target = fleet.Version{} }), true),
	Entry("the required revision is not active", follow.Options{MinRevision: 5}, newStatus(replica("a", r3)), false),
	Entry("the platform has a higher revision", follow.Options{},
		edited(newStatus(replica("a", r3)), func(s *status.Entry) { s.Config.PlatformRevision = 5 }), false),
	Entry("a replica has a higher revision", follow.Options{},
		edited(newStatus(replica("a", r3)), func(s *status.Entry) { s.Fleet[0].Revision = 5 }), false),
)

var _ = Describe("Follower", func() {
	// Guards against reporting a rollout as finished because of an outdated
	// entry. Of two entries, the one with revision 5 is being replaced, and the
	// other one, which still has revision 4, responds: all replicas serve its
	// target. The rollout has not finished, and the fleet has not rolled back.
	It("does not finish because of an outdated entry", func() {
		f := follow.New(follow.Options{})
		f.Observe(edited(newStatus(replica("a", r2)), func(s *status.Entry) { s.Revision = 5 }))
		outdated := edited(newStatus(replica("a", r2)), func(s *status.Entry) { s.Services[0].Target = r2 })
		Expect(f.Observe(outdated)).To(BeEmpty())
		Expect(f.Done()).To(BeFalse())
		Expect(f.Revision()).To(Equal(revision.Revision(5)))
	})

	DescribeTable("returns why the rollout cannot finish",
		func(options follow.Options, platform revision.Revision, refused []string, kind *errorx.Type) {
			f := follow.New(options)
			f.Observe(edited(newStatus(replica("a", r3)), func(s *status.Entry) {
				s.Config.PlatformRevision = platform
				s.Config.Refused = refused
			}))
			done, err := f.Done()
			Expect(done).To(BeFalse())
			Expect(errorx.IsOfType(err, kind)).To(BeTrue(), "%v", err)
		},
		Entry("the configuration is refused", follow.Options{}, revision.Revision(5), []string{"fleet.ini:9: bad"}, follow.ConfigRefused),
		Entry("the configuration does not have the service", follow.Options{Services: []fleet.ServiceName{"nothing"}}, revision.Revision(4), nil, failure.NotFound),
	)

	It("waits for a configuration newer than a refused one", func() {
		f := follow.New(follow.Options{MinRevision: 6})
		f.Observe(edited(newStatus(replica("a", r3)), func(s *status.Entry) {
			s.Config.PlatformRevision = 5
			s.Config.Refused = []string{"fleet.ini:9: bad"}
		}))
		Expect(f.Done()).To(BeFalse())
	})

	It("reports each change once", func() {
		f := follow.New(follow.Options{Instances: true})
		first := edited(newStatus(replica("a", r2), replica("b", r2)), func(s *status.Entry) {
			s.Config.Conflicts = 1
			s.Config.Refused = []string{"fleet.ini:9: bad\nfleet.ini:12: bad"}
		})
		Expect(lines(f.Observe(first))).To(Equal([]string{
			"revision 4 of fleet demo is in force at entry-1",
			"entry-1 refuses a text: fleet.ini:9: bad; fleet.ini:12: bad",
			"entry-1 knows of another text under revision 4",
			"pool: 0 of 2 serve " + r3.String() + ", 2 on another version",
		}))
		Expect(f.Observe(first)).To(BeEmpty())
		silent := status.Member{ID: "c", Role: fleet.RoleAgent, Service: "pool", Silent: true}
		Expect(lines(f.Observe(newStatus(replica("a", r3), silent)))).To(Equal([]string{
			"pool a: serving " + r3.String(),
			"pool c: not heard of, silent",
			"pool b: gone",
			"pool: 1 of 2 serve " + r3.String() + ", 1 silent",
		}))
		Expect(f.Pending()).To(HaveSuffix("1 silent; waiting for c"))
	})
})

func lines(events []follow.Event) []string {
	var texts []string
	for _, e := range events {
		texts = append(texts, e.String())
	}
	return texts
}
