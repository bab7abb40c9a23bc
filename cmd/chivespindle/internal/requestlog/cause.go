package requestlog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// sameFaultWindow is the longest time between failures at one server that count
// as the same fault.
const sameFaultWindow = 2 * time.Second

// restartWindow is how soon after a request's last line its entry must restart
// to count as having ended while it had the request. Callers wait no longer,
// and a killed process is restarted within seconds.
const restartWindow = 8 * time.Second

// precision is that of times in sentences.
const precision = time.Millisecond

// cause returns why the request ended as it did.
func (l *Collector) cause() string {
	if len(l.requestLines) == 0 {
		return "No line names this request. A plain success has one line in fifty; an entry that is killed writes no more; " +
			"what exceeds the bound of lines is counted in lines_left_out." + l.describeRestarts()
	}
	last := l.requestLines[len(l.requestLines)-1]
	switch last.Event {
	case "served":
		return l.explainServed(last)
	case "abandoned":
		return fmt.Sprintf("The caller disconnected after %s.", age(last))
	case "refused":
		return l.explainRefused(last)
	default:
		return l.explainUnfinished(last)
	}
}

// describeRestarts describes which processes restarted within the log: the
// requests that they had in flight have no end in it.
func (l *Collector) describeRestarts() string {
	starts := make(map[string]int) // by instance
	var first, last Line
	for _, line := range l.processLines {
		if line.Event != "started" {
			continue
		}
		starts[line.Instance]++
		if starts[line.Instance] < 2 {
			continue
		}
		if first.Event == "" {
			first = line
		}
		last = line
	}
	if first.Event == "" {
		return ""
	}
	return fmt.Sprintf(" Processes started anew in this log, the first, %s, at %s, the last, %s, at %s.",
		first.Instance, first.At.UTC().Format(time.TimeOnly), last.Instance, last.At.UTC().Format(time.TimeOnly))
}

func (l *Collector) explainServed(last Line) string {
	server := "a server"
	if id := last.Value("server"); id != "" {
		server = "server " + id
	}
	text := fmt.Sprintf("It was answered by %s, status %s, after %s.", server, last.Value("status"), age(last)) + l.explainWait()
	if failed, ok := l.lastRequestLine("server_error"); ok && failed.Value("status") == last.Value("status") {
		return describeServerError(failed)
	}
	if attempts := last.Int("attempts"); attempts > 1 {
		text += fmt.Sprintf(" It took %d attempts; before the last, %s.", attempts, l.describeLastFailure())
	}
	return text
}

// describeServerError describes an error response of the server itself.
func describeServerError(failed Line) string {
	return fmt.Sprintf("Its server failed: %s at %s answered %s itself, after %s (attempt %s).",
		failed.Value("server"), failed.Value("addr"), failed.Value("status"), age(failed), failed.Value("attempts"))
}

// explainUnfinished explains a request without a final line in the log.
func (l *Collector) explainUnfinished(last Line) string {
	if last.Event == "server_error" {
		return describeServerError(last)
	}
	for _, line := range l.processLines {
		after := line.At.Sub(last.At)
		if line.Instance == last.Instance && line.Event == "started" && after > 0 && after < restartWindow {
			return fmt.Sprintf("The entry %s ended while it had the request, without a word, and started anew %s later.",
				last.Instance, after.Round(precision))
		}
	}
	return fmt.Sprintf("The log has no end of it: its last line is %s after %s.", last.Event, age(last))
}

func age(line Line) time.Duration { return line.Duration("age").Round(precision) }

// explainRefused explains an error response of the entry itself, or a response
// that it aborted.
func (l *Collector) explainRefused(last Line) string {
	text := l.explainReason(last)
	switch {
	case last.Bool("begun"):
		return text + fmt.Sprintf(" A part of the answer had gone out, so its connection was cut after %s.", age(last))
	case last.Bool("may_have_run"):
		return text + " A server may have run it, so the answer promises nothing."
	case last.Duration("retry_after") > 0:
		return text + fmt.Sprintf(" It did not run; the caller was told to come back in %s.",
			last.Duration("retry_after").Round(precision))
	default:
		return text
	}
}

func (l *Collector) explainReason(last Line) string {
	switch reason := last.Value("reason"); reason {
	case "full":
		return l.explainFull(last)
	case "no_place":
		return l.explainNoPlace(last)
	case "reserved", "yielded", "gave_way":
		return l.explainPriority(last)
	case "no_server":
		return "No engine could accept it." + l.describeEngines(last)
	case "no_allowed_server":
		return l.explainNoAllowedServer(last)
	case "evacuated":
		return l.explainEvacuated(last)
	case "too_long":
		return l.explainTooLong()
	case "limited":
		return "The servers that could take it had limits, and this entry had used its share of them." + l.describeEngines(last)
	case "backoff":
		return "The servers that could take it had rejected requests of this entry and asked for a pause." + l.describeEngines(last)
	case "cold":
		return "The servers that could take it had just started and bear few requests until they are warm; this entry had used " +
			"its share of them." + l.describeColdServers(last)
	case "memory":
		return l.explainMemory()
	case "quarantined":
		return l.explainQuarantined()
	case "no_view", "cut_off":
		return l.explainNoConfig(last)
	case "no_route", "no_key":
		return l.explainNotConfigured(last)
	case "timeout":
		return l.explainTimeout(last)
	case "shutdown":
		return "The entry was shutting down, and the request could have outlasted its process."
	case "declined":
		return fmt.Sprintf("It was sent to %d servers, and each said that it did not run it.", last.Int("attempts"))
	case "retry_budget":
		return "Another server would have been tried, but the retry budget that all entries share was used up: " +
			l.describeLastFailure() + "."
	case "unreachable", "no_answer", "answer_broken", "stream_broken", "server_failed", "not_continued":
		return l.explainServerFailed(last)
	case "unproved_refusal":
		return "Its server refused it without saying that it did not run, and it may run only once: " + l.describeLastFailure() + "."
	default:
		return fmt.Sprintf("The entry gave the reason %s.", reason)
	}
}

// explainFull explains a refusal because of load.
func (l *Collector) explainFull(last Line) string {
	text := "Too busy: no engine would have begun in time."
	if placed, ok := l.lastRequestLine("not_placed"); ok {
		text = fmt.Sprintf("Too busy: of the engines that could take it, %d in all, the best would have begun after %s, longer than may wait.",
			placed.Int("usable"), placed.Duration("predicted").Round(precision))
	}
	if _, held := l.lastRequestLine("held"); held {
		text += fmt.Sprintf(" It had waited %s at the entry.", age(last))
	}
	if failed, ok := l.lastRequestLine("attempt_failed"); ok {
		text += " Before, " + l.describeFailure(failed) + "."
	}
	return text + l.describeEngines(last)
}

// explainMemory explains a body that the entry had no memory for.
func (l *Collector) explainMemory() string {
	refused, _ := l.lastRequestLine("memory_refused")
	return fmt.Sprintf("The entry held %d of the %d bytes that it may for bodies, and had no room for the one of this %s.",
		refused.Int("held"), refused.Int("limit"), refused.Value("what"))
}

// explainNoPlace explains a refusal although an engine would have begun in
// time.
func (l *Collector) explainNoPlace(last Line) string {
	placed, _ := l.lastRequestLine("not_placed")
	text := fmt.Sprintf("The best of %d engines had no room for a request of %d tokens.", placed.Int("usable"), placed.Int("prompt"))
	if placed.Bool("returned") {
		text = fmt.Sprintf("It came back late, and the places that late requests may take were taken at all %d engines.",
			placed.Int("usable"))
	}
	if _, held := l.lastRequestLine("held"); held {
		text += fmt.Sprintf(" It had waited %s at the entry.", age(last))
	}
	return text + l.describeEngines(last)
}

// explainNoAllowedServer explains a refusal because of the regions in which the request may
// be served.
func (l *Collector) explainNoAllowedServer(last Line) string {
	placed, _ := l.lastRequestLine("not_placed")
	text := fmt.Sprintf("Its route or workspace restricts it to regions (allowed: %s), and no server there could accept it.",
		placed.Value("allowed"))
	switch regions := placed.Value("regions"); {
	case placed.Value("allowed") == "none":
		text += " The lists of route and workspace have no region in common."
	case regions == "":
		text += " No server of the service was in service elsewhere either."
	default:
		text += fmt.Sprintf(" Servers in %s were in service, but it may not be sent there.", regions)
	}
	return text + l.describeEngines(last)
}

// describeEngines describes the state of the engines as the entry knew it.
func (l *Collector) describeEngines(last Line) string {
	known := l.countEngines(last)
	if known.total == 0 {
		return " The entry knew no agent."
	}
	if known.reloading+known.empty+known.unreachable+known.leaving == 0 {
		return fmt.Sprintf(" All %d engines that it knew were in service.", known.total)
	}
	return fmt.Sprintf(" Of the %d engines that it knew, %d were loading or about to, %d held no weights, %d were down, %d were leaving.",
		known.total, known.reloading, known.empty, known.unreachable, known.leaving)
}

// describeColdServers describes which servers were cold for the entry.
func (l *Collector) describeColdServers(last Line) string {
	cold := make(map[string]string) // until when, by server
	for _, line := range l.processLines {
		if line.Instance != last.Instance || line.At.After(last.At) {
			continue
		}
		switch line.Event {
		case "started":
			clear(cold)
		case "server_cold":
			cold[line.Value("server")] = line.Value("until")
		case "server_cold_ended":
			delete(cold, line.Value("server"))
		}
	}
	if len(cold) == 0 {
		return ""
	}
	var names []string
	for _, server := range slices.Sorted(maps.Keys(cold)) {
		names = append(names, fmt.Sprintf("%s until %s", server, cold[server]))
	}
	return fmt.Sprintf(" Cold servers that it knew: %s.", strings.Join(names, ", "))
}

type engineCount struct{ total, reloading, empty, unreachable, leaving int }

// countEngines counts the engines by what agents had reported to the entry
// since its start.
func (l *Collector) countEngines(last Line) engineCount {
	state := make(map[string]Line) // by address
	for _, line := range l.processLines {
		if line.Instance != last.Instance || line.At.After(last.At) {
			continue
		}
		switch line.Event {
		case "started":
			clear(state)
		case "replica":
			state[line.Value("addr")] = line
		}
	}
	count := engineCount{total: len(state)}
	for _, line := range state {
		switch {
		case line.Bool("leaving"):
			count.leaving++
		case line.Bool("down"):
			count.unreachable++
		case line.Bool("changing"):
			count.reloading++
		case line.Value("loaded") == "0":
			count.empty++
		}
	}
	return count
}

func (l *Collector) explainTooLong() string {
	placed, _ := l.lastRequestLine("not_placed")
	return fmt.Sprintf("It came back late: its answer, of some %d tokens by the caller's estimate, would not have been "+
		"whole in the %s that the caller still waited.", placed.Int("expected"), placed.Duration("left").Round(precision))
}

// explainQuarantined explains why a request is not sent to any server.
func (l *Collector) explainQuarantined() string {
	placed, _ := l.lastRequestLine("not_placed")
	if part := placed.Value("part"); part != "" {
		return fmt.Sprintf("It is quarantined until %s: the servers %s crashed before they responded to requests with the part %s "+
			"of its prompt, and none has responded to one since.", placed.Value("until"), placed.Value("servers"), part)
	}
	return fmt.Sprintf("It is quarantined until %s: requests with this content (fingerprint %s) were in flight as the servers %s crashed, "+
		"and none succeeded in between.", placed.Value("until"), placed.Value("fingerprint"), placed.Value("servers"))
}

// explainNoConfig explains a refusal by an entry without a reliable
// configuration.
func (l *Collector) explainNoConfig(last Line) string {
	if woke, ok := l.lastProcessLine(last.Instance, "woke", last.At); ok && last.At.Sub(woke.At) < contextBefore {
		return fmt.Sprintf("The entry had stood still for %s until %s before, and had not read the platform again.",
			woke.Duration("after").Round(precision), last.At.Sub(woke.At).Round(precision))
	}
	if lost, ok := l.platformLoss(last); ok {
		silent := last.At.Sub(lost.At) + lost.Duration("heard_ago")
		return fmt.Sprintf("The entry had heard neither the platform for %s nor a peer, and could not tell what is configured: %s.",
			silent.Round(precision), lost.Value("error"))
	}
	if started, ok := l.lastProcessLine(last.Instance, "started", last.At); ok {
		return fmt.Sprintf("The entry had started %s before and knew no configuration yet.", last.At.Sub(started.At).Round(precision))
	}
	return "The entry knew no configuration that it could rely on."
}

// platformLoss returns the line since which the platform had not responded to
// the entry, and false if it had responded again, or the entry had restarted,
// since.
func (l *Collector) platformLoss(last Line) (Line, bool) {
	lost, ok := l.lastProcessLine(last.Instance, "platform_lost", last.At)
	for _, event := range []string{"platform_regained", "started"} {
		since, found := l.lastProcessLine(last.Instance, event, last.At)
		ok = ok && !(found && since.At.After(lost.At))
	}
	return lost, ok
}

// explainNotConfigured explains a refusal by what the configuration lacks.
func (l *Collector) explainNotConfigured(last Line) string {
	what := "route for its host and path"
	if last.Value("reason") == "no_key" {
		what = "key like the caller's"
	}
	active, ok := l.lastProcessLine(last.Instance, "config_in_force", last.At)
	if !ok {
		return fmt.Sprintf("The configuration in force has no %s.", what)
	}
	return fmt.Sprintf("Configuration %s, in force there for %s, has no %s.",
		active.Value("version"), last.At.Sub(active.At).Round(precision), what)
}

func (l *Collector) explainTimeout(last Line) string {
	text := fmt.Sprintf("The time of its caller, or of its route, was up after %s.", age(last))
	if _, held := l.lastRequestLine("held"); held && last.Int("attempts") == 0 {
		return text + " It had waited at the entry for an engine." + l.describeEngines(last)
	}
	failed, ok := l.lastRequestLine("attempt_failed")
	switch {
	case !ok:
		return text
	case failed.Int("last_event") < 0:
		return text + fmt.Sprintf(" Server %s, expected to begin within %s, had given nothing.",
			failed.Value("server"), failed.Duration("predicted").Round(precision))
	default:
		return text + fmt.Sprintf(" Server %s had written up to event %s.", failed.Value("server"), failed.Value("last_event"))
	}
}

// explainServerFailed explains a failure of the server that had the request.
func (l *Collector) explainServerFailed(last Line) string {
	failed, ok := l.lastRequestLine("attempt_failed")
	if !ok {
		return fmt.Sprintf("A server failed (%s).", last.Value("reason"))
	}
	text := l.describeFailure(failed)
	text = strings.ToUpper(text[:1]) + text[1:] + "."
	if others := l.countOtherFailures(failed); others > 0 {
		text += fmt.Sprintf(" Other attempts that failed there within %s: %d.", sameFaultWindow, others)
	}
	return text + l.describeAgent(failed)
}

func (l *Collector) describeLastFailure() string {
	if failed, ok := l.lastRequestLine("attempt_failed"); ok {
		return l.describeFailure(failed)
	}
	if failed, ok := l.lastRequestLine("server_error"); ok {
		return fmt.Sprintf("server %s had answered %s itself", failed.Value("server"), failed.Value("status"))
	}
	if declined, ok := l.lastRequestLine("attempt_declined"); ok {
		return fmt.Sprintf("server %s had said that it did not run it", declined.Value("server"))
	}
	return "the log has no lines of the other attempts"
}

// describeFailure describes one failed attempt.
func (l *Collector) describeFailure(failed Line) string {
	return fmt.Sprintf("server %s at %s failed after %s: %s",
		failed.Value("server"), failed.Value("addr"), age(failed), failed.Value("error"))
}

func (l *Collector) countOtherFailures(failed Line) int {
	count := 0
	for _, line := range l.otherFailures {
		apart := line.At.Sub(failed.At).Abs()
		if line.Value("server") == failed.Value("server") && apart <= sameFaultWindow {
			count++
		}
	}
	return count
}

// describeAgent describes what the agent of a server logged around its failure.
func (l *Collector) describeAgent(failed Line) string {
	agent := l.agentAt(failed.Value("addr"))
	if agent == "" {
		return ""
	}
	for _, line := range l.processLines {
		apart := line.At.Sub(failed.At).Abs()
		if line.Instance != agent || apart > sameFaultWindow {
			continue
		}
		switch line.Event {
		case "engine_lost":
			return fmt.Sprintf(" Its agent, %s, could not reach the engine either.", agent)
		case "woke":
			return fmt.Sprintf(" Its machine, %s, had stood still for %s.", agent, line.Duration("after").Round(precision))
		case "stopped":
			return fmt.Sprintf(" Its machine, %s, was being stopped.", agent)
		case "started":
			return fmt.Sprintf(" Its agent, %s, had just started, as after a power failure.", agent)
		}
	}
	return ""
}

// lastRequestLine returns the request's last line of an event.
func (l *Collector) lastRequestLine(event string) (Line, bool) {
	for i := len(l.requestLines) - 1; i >= 0; i-- {
		if l.requestLines[i].Event == event {
			return l.requestLines[i], true
		}
	}
	return Line{}, false
}
