// Package revision decides which state of the operator's text is in force in
// one process.
//
// The revision in force only rises. A process that has just started holds
// nothing, and the platform's configuration service may be stale, so it does
// not take the first text that it hears: it waits until it has heard enough
// of the platform and of its peers, and takes the highest revision. Keeper
// holds the rules, Watchers says which processes of an availability zone
// watch the platform, and ReadPlan when a process reads it by itself.
//
// Until a text is in force, a process is not ready. An entry instance answers
// every request at once as not run, with a time to come back, and is not
// named in address answers; an agent answers every request as not run and
// gives its engine no order. The reason: without the text it knows neither
// which version may be served nor which limits hold, and with an old one it
// might load a version that the fleet has left, which would take back a
// configuration that the system had accepted.
package revision
