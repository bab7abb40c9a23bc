// Package policy lists the mechanisms that decide how calls are served. Each can be
// disabled, so that its benefit can be measured under the load and the faults of a
// fleet. Mechanisms that uphold a guarantee to callers, rather than just serve them
// better, cannot be disabled.
package policy

import "slices"

// Disabled is the set of disabled mechanisms. In the zero value, all mechanisms are
// enabled. The names of the fields follow the keys in settings.
type Disabled struct {
	Prediction   bool
	HearLoads    bool
	AssumeAlike  bool
	LeaveFreed   bool
	RefuseFull   bool
	LateLast     bool
	RefuseLong   bool
	NearServers  bool
	Jitter       bool
	Ejection     bool
	OwnEngines   bool
	FailureCost  bool
	Pace         bool
	NewerFirst   bool
	TellReturned bool
	HoldForLoad  bool
	HoldLate     bool
	SpreadReturn bool
	Repeat       bool
	HandOver     bool
	Turns        bool
	LoadBetween  bool
	KeepLapsed   bool
	ShiftNaming  bool
	NearFetch    bool
	FarLess      bool
	FewWatchers  bool
	Priorities   bool
}

// Mechanism is a mechanism that can be disabled.
type Mechanism struct {
	// Name is the key in settings and in tables of results.
	Name string
	// Doc describes the mechanism and what happens without it.
	Doc   string
	field func(*Disabled) *bool
}

// Mechanisms returns all mechanisms in the order used in tables.
func Mechanisms() []Mechanism { return slices.Clone(mechanisms) }

// Set disables or enables the named mechanism and reports whether it exists.
func (d *Disabled) Set(name string, off bool) bool {
	at := slices.IndexFunc(mechanisms, func(m Mechanism) bool { return m.Name == name })
	if at < 0 {
		return false
	}
	*mechanisms[at].field(d) = off
	return true
}

// Names returns the names of the disabled mechanisms.
func (d *Disabled) Names() []string {
	var names []string
	for _, m := range mechanisms {
		if *m.field(d) {
			names = append(names, m.Name)
		}
	}
	return names
}

var mechanisms = []Mechanism{
	{"prediction", "A server's time to the first event is predicted from its published figures. Off: the server with the fewest requests for its places is taken.",
		func(o *Disabled) *bool { return &o.Prediction }},
	{"hear_loads", "Entries hear of each other's requests at each server. Off: each knows its own only.",
		func(o *Disabled) *bool { return &o.HearLoads }},
	{"assume_alike", "At a server that has just become ready, the other entries are taken to place as much as this one until they are heard. Off: they count as heard.",
		func(o *Disabled) *bool { return &o.AssumeAlike }},
	{"leave_freed", "A place that another entry's request has left at an engine counts as taken for a random while, in which that entry fills it. Off: all entries find it free at once.",
		func(o *Disabled) *bool { return &o.LeaveFreed }},
	{"refuse_full", "A request that would begin too late is refused at once. Off: it is placed wherever it begins first.",
		func(o *Disabled) *bool { return &o.RefuseFull }},
	{"late_last", "Requests that are late already get only a part of an engine's places. Off: all requests are treated alike.",
		func(o *Disabled) *bool { return &o.LateLast }},
	{"refuse_long", "A late request whose answer cannot be whole in its caller's time is refused at once. Off: it is placed.",
		func(o *Disabled) *bool { return &o.RefuseLong }},
	{"near_servers", "Servers of the own region cost less than others. Off: distance does not count.",
		func(o *Disabled) *bool { return &o.NearServers }},
	{"jitter", "Chance decides among servers of nearly the same cost. Off: all entries choose the same.",
		func(o *Disabled) *bool { return &o.Jitter }},
	{"own_engines", "Each entry prefers some engines, so that few entries choose among the same. Off: all entries choose among all.",
		func(o *Disabled) *bool { return &o.OwnEngines }},
	{"ejection", "A server that is silent, or whose answers break, gets nothing for a while. Off: it is used on.",
		func(o *Disabled) *bool { return &o.Ejection }},
	{"failure_cost", "A server that fails more of its requests than its service does costs more. Off: failures do not count.",
		func(o *Disabled) *bool { return &o.FailureCost }},
	{"pace", "The prediction of a slow engine is stretched by what it reports. Off: all are taken for sound.",
		func(o *Disabled) *bool { return &o.Pace }},
	{"newer_first", "Engines with an outdated version cost more, so that few streams run there when they change. Off: the version does not count.",
		func(o *Disabled) *bool { return &o.NewerFirst }},
	{"tell_returned", "Callers that come back after a refusal are told from new ones and count as late. Off: nobody is.",
		func(o *Disabled) *bool { return &o.TellReturned }},
	{"hold_for_load", "A call waits for an engine that is about to be ready. Off: it is refused.",
		func(o *Disabled) *bool { return &o.HoldForLoad }},
	{"hold_late", "A late call waits for room. Off: it is refused.",
		func(o *Disabled) *bool { return &o.HoldLate }},
	{"spread_return", "Refused callers are told different times to come back. Off: all are told the longest that callers honour.",
		func(o *Disabled) *bool { return &o.SpreadReturn }},
	{"repeat", "What a server failed is sent to another where the route allows it. Off: the caller gets the failure.",
		func(o *Disabled) *bool { return &o.Repeat }},
	{"hand_over", "Streams of an engine that is about to load go on at others. Off: the load waits for their end.",
		func(o *Disabled) *bool { return &o.HandOver }},
	{"turns", "Engines change their version in turns. Off: each does when its bytes are there.",
		func(o *Disabled) *bool { return &o.Turns }},
	{"load_between", "A version is loaded also if a newer one is named, when that does not come in time. Off: only the newest is.",
		func(o *Disabled) *bool { return &o.LoadBetween }},
	{"keep_lapsed", "Servers whose registration ends during an outage of the platform stay in use until they could be back. Off: they are dropped.",
		func(o *Disabled) *bool { return &o.KeepLapsed }},
	{"shift_naming", "The time for a version named during an outage counts from when the platform is sound. Off: from its return.",
		func(o *Disabled) *bool { return &o.ShiftNaming }},
	{"near_fetch", "One member of each region fetches a chunk from another region for all. Off: each fetches it where it is rarest.",
		func(o *Disabled) *bool { return &o.NearFetch }},
	{"few_watchers", "Only the first entries of a region watch the platform closely, and read what the operator writes for the others. Off: all do.",
		func(o *Disabled) *bool { return &o.FewWatchers }},
	{"far_less", "Entries of other regions hear of loads less often. Off: as often as near ones.",
		func(o *Disabled) *bool { return &o.FarLess }},
	{"priorities", "More urgent requests get a reserved part of each server and wait for room at the entry. Off: urgency does not count there; servers are still told of it.",
		func(o *Disabled) *bool { return &o.Priorities }},
}
