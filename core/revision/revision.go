// Package revision decides which revision of the operator's configuration is
// active in one process.
//
// The active revision only increases. A process that has just started holds no
// configuration, and the platform's configuration service may be stale, so the
// process does not activate the first configuration that it receives: it waits
// for sufficient information from the platform and from its peers, and
// activates the highest revision. Selector implements the rules, Watchers
// selects the processes of an availability zone that watch the platform, and
// ReadPlan schedules the reads that a process makes itself.
//
// Until a configuration is active, a process is not ready. An entry instance
// answers every request immediately as not run, with a retry time, and is not
// included in address answers; an agent answers every request as not run and
// gives its engine no order. Without the configuration a process knows neither
// which version may be served nor which limits apply, and with an outdated one
// it might load a version that the fleet has abandoned, which would revert a
// configuration that the system had accepted.
package revision
