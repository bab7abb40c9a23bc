package requestlog

import (
	"fmt"
	"strings"
	"time"
)

// sameMoment is how far apart failures at one server may be to count as the
// same fault.
const sameMoment = 2 * time.Second

// restartWithin is how soon after a request's last line its entry must start
// anew to count as having ended with the request in hand: callers wait no
// longer, and a killed process is started again within seconds.
const restartWithin = 8 * time.Second

// round is the precision of times in sentences.
const round = time.Millisecond

// cause returns why the request ended as it did.
func (l *Log) cause() string {
	if len(l.own) == 0 {
		return "No line names this request. A plain success has one line in fifty; an entry that is killed writes no more; " +
			"what exceeds the bound of lines is counted in lines_left_out." + l.startedAnew()
	}
	last := l.own[len(l.own)-1]
	switch last.Event {
	case "served":
		return l.served(last)
	case "abandoned":
		return fmt.Sprintf("The caller left after %s.", age(last))
	case "refused":
		return l.refused(last)
	default:
		return l.unfinished(last)
	}
}

// startedAnew tells which processes started again within the log: what they
// had in hand has no end in it.
func (l *Log) startedAnew() string {
	starts := make(map[string]int) // by instance
	var first, last Line
	for _, line := range l.beliefs {
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

func (l *Log) served(last Line) string {
	text := fmt.Sprintf("It was answered by a server, status %s, after %s.", last.Text("status"), age(last))
	if failed, ok := l.ownLast("server_error"); ok && failed.Text("status") == last.Text("status") {
		return ownFailure(failed)
	}
	if attempts := last.Int("attempts"); attempts > 1 {
		text += fmt.Sprintf(" It took %d attempts; before the last, %s.", attempts, l.lastFailure())
	}
	return text
}

// ownFailure tells of a failure that a server answered itself.
func ownFailure(failed Line) string {
	return fmt.Sprintf("Its server failed: %s at %s answered %s itself, after %s (attempt %s).",
		failed.Text("server"), failed.Text("addr"), failed.Text("status"), age(failed), failed.Text("attempts"))
}

// unfinished explains a request whose end no line tells.
func (l *Log) unfinished(last Line) string {
	if last.Event == "server_error" {
		return ownFailure(last)
	}
	for _, line := range l.beliefs {
		after := line.At.Sub(last.At)
		if line.Instance == last.Instance && line.Event == "started" && after > 0 && after < restartWithin {
			return fmt.Sprintf("The entry %s ended while it had the request, without a word, and started anew %s later.",
				last.Instance, after.Round(round))
		}
	}
	return fmt.Sprintf("The log has no end of it: its last line is %s after %s.", last.Event, age(last))
}

func age(line Line) time.Duration { return line.Duration("age").Round(round) }

// refused explains an answer of our own, or a stream that was cut.
func (l *Log) refused(last Line) string {
	text := l.reason(last)
	switch {
	case last.Is("begun"):
		return text + fmt.Sprintf(" A part of the answer had gone out, so its connection was cut after %s.", age(last))
	case last.Is("may_have_run"):
		return text + " A server may have run it, so the answer promises nothing."
	case last.Duration("retry_after") > 0:
		return text + fmt.Sprintf(" It did not run; the caller was told to come back in %s.",
			last.Duration("retry_after").Round(round))
	default:
		return text
	}
}

func (l *Log) reason(last Line) string {
	switch reason := last.Text("reason"); reason {
	case "full":
		return l.full(last)
	case "no_place":
		return l.noPlace(last)
	case "no_server":
		return "No engine could take it." + l.engines(last)
	case "too_long":
		return l.tooLong()
	case "limited":
		return "The servers that could take it had limits, and this entry had used its share of them." + l.engines(last)
	case "quarantined":
		return l.quarantined()
	case "no_view", "cut_off":
		return l.blind(last)
	case "no_route", "no_key":
		return l.unknown(last)
	case "timeout":
		return l.timeout(last)
	case "declined":
		return fmt.Sprintf("It was sent to %d servers, and each said that it did not run it.", last.Int("attempts"))
	case "retry_budget":
		return "Another server would have been tried, but the share of repeats that all entries allow was used up: " +
			l.lastFailure() + "."
	case "unreachable", "no_answer", "answer_broken", "stream_broken", "server_failed", "not_continued":
		return l.serverFailed(last)
	case "unproved_refusal":
		return "Its server refused it without saying that it did not run, and it may run only once: " + l.lastFailure() + "."
	default:
		return fmt.Sprintf("The entry gave the reason %s.", reason)
	}
}

// full explains a refusal under load.
func (l *Log) full(last Line) string {
	text := "Too busy: no engine would have begun in time."
	if placed, ok := l.ownLast("not_placed"); ok {
		text = fmt.Sprintf("Too busy: of the engines that could take it, %d in all, the best would have begun after %s, longer than may wait.",
			placed.Int("usable"), placed.Duration("predicted").Round(round))
	}
	if _, held := l.ownLast("held"); held {
		text += fmt.Sprintf(" It had waited %s at the entry.", age(last))
	}
	if failed, ok := l.ownLast("attempt_failed"); ok {
		text += " Before, " + l.failure(failed) + "."
	}
	return text + l.engines(last)
}

// noPlace explains a refusal by an engine that would have begun in time.
func (l *Log) noPlace(last Line) string {
	placed, _ := l.ownLast("not_placed")
	text := fmt.Sprintf("The best of %d engines had no room for a request of %d tokens.", placed.Int("usable"), placed.Int("prompt"))
	if placed.Is("returned") {
		text = fmt.Sprintf("It came back late, and the places that late requests may take were taken at all %d engines.",
			placed.Int("usable"))
	}
	if _, held := l.ownLast("held"); held {
		text += fmt.Sprintf(" It had waited %s at the entry.", age(last))
	}
	return text + l.engines(last)
}

// engines tells the state of the engines as the entry knew them.
func (l *Log) engines(last Line) string {
	known := l.knownEngines(last)
	if known.total == 0 {
		return " The entry had not heard of any agent."
	}
	if known.changing+known.empty+known.down == 0 {
		return fmt.Sprintf(" All %d engines that it knew were in service.", known.total)
	}
	return fmt.Sprintf(" Of the %d engines that it knew, %d were loading or about to, %d held no weights, %d were down.",
		known.total, known.changing, known.empty, known.down)
}

type engineCount struct{ total, changing, empty, down int }

// knownEngines counts the engines by what agents had told the entry since its
// start.
func (l *Log) knownEngines(last Line) engineCount {
	state := make(map[string]Line) // by address
	for _, line := range l.beliefs {
		if line.Instance != last.Instance || line.At.After(last.At) {
			continue
		}
		switch line.Event {
		case "started":
			clear(state)
		case "replica":
			state[line.Text("addr")] = line
		}
	}
	count := engineCount{total: len(state)}
	for _, line := range state {
		switch {
		case line.Is("down"):
			count.down++
		case line.Is("changing"):
			count.changing++
		case line.Text("loaded") == "0":
			count.empty++
		}
	}
	return count
}

func (l *Log) tooLong() string {
	placed, _ := l.ownLast("not_placed")
	return fmt.Sprintf("It came back late: its answer, of some %d tokens by the caller's estimate, would not have been "+
		"whole in the %s that the caller still waited.", placed.Int("expected"), placed.Duration("left").Round(round))
}

// quarantined explains a request that is kept from servers.
func (l *Log) quarantined() string {
	placed, _ := l.ownLast("not_placed")
	return fmt.Sprintf("It is quarantined until %s: requests with this content (fingerprint %s) were in flight as the servers %s crashed, "+
		"and none succeeded in between.", placed.Text("until"), placed.Text("fingerprint"), placed.Text("servers"))
}

// blind explains an entry that could not tell what is configured.
func (l *Log) blind(last Line) string {
	if woke, ok := l.lastBelief(last.Instance, "woke", last.At); ok && last.At.Sub(woke.At) < contextBefore {
		return fmt.Sprintf("The entry had stood still for %s until %s before, and had not read the platform again.",
			woke.Duration("after").Round(round), last.At.Sub(woke.At).Round(round))
	}
	if lost, ok := l.isLost(last); ok {
		silent := last.At.Sub(lost.At) + lost.Duration("heard_ago")
		return fmt.Sprintf("The entry had heard neither the platform for %s nor a peer, and could not tell what is configured: %s.",
			silent.Round(round), lost.Text("error"))
	}
	if started, ok := l.lastBelief(last.Instance, "started", last.At); ok {
		return fmt.Sprintf("The entry had started %s before and knew no configuration yet.", last.At.Sub(started.At).Round(round))
	}
	return "The entry knew no configuration that it could rely on."
}

// isLost returns since when the platform had not answered the entry, and false
// if it had answered again, or the entry has started anew since.
func (l *Log) isLost(last Line) (Line, bool) {
	lost, ok := l.lastBelief(last.Instance, "platform_lost", last.At)
	for _, event := range []string{"platform_regained", "started"} {
		since, found := l.lastBelief(last.Instance, event, last.At)
		ok = ok && !(found && since.At.After(lost.At))
	}
	return lost, ok
}

// unknown explains a refusal by what the configuration lacks.
func (l *Log) unknown(last Line) string {
	what := "route for its host and path"
	if last.Text("reason") == "no_key" {
		what = "key like the caller's"
	}
	in, ok := l.lastBelief(last.Instance, "config_in_force", last.At)
	if !ok {
		return fmt.Sprintf("The configuration in force has no %s.", what)
	}
	return fmt.Sprintf("Configuration %s, in force there for %s, has no %s.",
		in.Text("version"), last.At.Sub(in.At).Round(round), what)
}

func (l *Log) timeout(last Line) string {
	text := fmt.Sprintf("The time of its caller, or of its route, was up after %s.", age(last))
	if _, held := l.ownLast("held"); held && last.Int("attempts") == 0 {
		return text + " It had waited at the entry for an engine." + l.engines(last)
	}
	failed, ok := l.ownLast("attempt_failed")
	switch {
	case !ok:
		return text
	case failed.Int("last_event") < 0:
		return text + fmt.Sprintf(" Server %s, expected to begin within %s, had given nothing.",
			failed.Text("server"), failed.Duration("predicted").Round(round))
	default:
		return text + fmt.Sprintf(" Server %s had written up to event %s.", failed.Text("server"), failed.Text("last_event"))
	}
}

// serverFailed explains a failure of the server that had the request.
func (l *Log) serverFailed(last Line) string {
	failed, ok := l.ownLast("attempt_failed")
	if !ok {
		return fmt.Sprintf("A server failed (%s).", last.Text("reason"))
	}
	text := l.failure(failed)
	text = strings.ToUpper(text[:1]) + text[1:] + "."
	if others := l.othersAt(failed); others > 0 {
		text += fmt.Sprintf(" Other attempts that failed there within %s: %d.", sameMoment, others)
	}
	return text + l.agentWord(failed)
}

func (l *Log) lastFailure() string {
	if failed, ok := l.ownLast("attempt_failed"); ok {
		return l.failure(failed)
	}
	if failed, ok := l.ownLast("server_error"); ok {
		return fmt.Sprintf("server %s had answered %s itself", failed.Text("server"), failed.Text("status"))
	}
	if declined, ok := l.ownLast("attempt_declined"); ok {
		return fmt.Sprintf("server %s had said that it did not run it", declined.Text("server"))
	}
	return "the lines of the others were left out"
}

// failure tells of one failed attempt.
func (l *Log) failure(failed Line) string {
	return fmt.Sprintf("server %s at %s failed after %s: %s",
		failed.Text("server"), failed.Text("addr"), age(failed), failed.Text("error"))
}

func (l *Log) othersAt(failed Line) int {
	count := 0
	for _, line := range l.failed {
		apart := line.At.Sub(failed.At).Abs()
		if line.Text("server") == failed.Text("server") && apart <= sameMoment {
			count++
		}
	}
	return count
}

// agentWord tells what the agent beside a server said around its failure.
func (l *Log) agentWord(failed Line) string {
	agent := l.agentAt(failed.Text("addr"))
	if agent == "" {
		return ""
	}
	for _, line := range l.beliefs {
		apart := line.At.Sub(failed.At).Abs()
		if line.Instance != agent || apart > sameMoment {
			continue
		}
		switch line.Event {
		case "engine_lost":
			return fmt.Sprintf(" The agent beside it, %s, could not reach the engine either.", agent)
		case "woke":
			return fmt.Sprintf(" Its machine, %s, had stood still for %s.", agent, line.Duration("after").Round(round))
		case "stopped":
			return fmt.Sprintf(" Its machine, %s, was being stopped.", agent)
		case "started":
			return fmt.Sprintf(" The agent beside it, %s, had just started, as after a loss of power.", agent)
		}
	}
	return ""
}

// ownLast returns the request's last line of an event.
func (l *Log) ownLast(event string) (Line, bool) {
	for i := len(l.own) - 1; i >= 0; i-- {
		if l.own[i].Event == event {
			return l.own[i], true
		}
	}
	return Line{}, false
}
