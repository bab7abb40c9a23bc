package requestlog

import "fmt"

// explainPriority explains a refusal in favour of other requests.
func (l *Collector) explainPriority(last Line) string {
	level := last.Value("priority_level")
	var text string
	switch last.Value("reason") {
	case "reserved":
		placed, _ := l.lastRequestLine("not_placed")
		text = fmt.Sprintf("The best of %d servers had free slots only for requests more urgent than its level, %s.", placed.Int("usable"), level)
	case "yielded":
		text = fmt.Sprintf("A request more urgent than its level, %s, waited at the entry for the next free slot.", level)
	default:
		text = fmt.Sprintf("It gave way: more requests waited at the entry than had been placed in the last second, "+
			"and those after its level, %s, had given way before.", level)
	}
	if _, held := l.lastRequestLine("held"); held {
		text += fmt.Sprintf(" It had waited %s at the entry.", age(last))
	}
	return text + l.describeEngines(last)
}

// explainWait explains why a request that was answered had waited at the entry; empty if it
// had not.
func (l *Collector) explainWait() string {
	held, ok := l.lastRequestLine("held")
	if !ok {
		return ""
	}
	return fmt.Sprintf(" It had waited at the entry from %s on: %s.", age(held), waitReason(held.Value("reason")))
}

func waitReason(reason string) string {
	switch reason {
	case "full":
		return "no server would have started it in time"
	case "no_place":
		return "no server had a free slot for it"
	case "reserved":
		return "the free slots were reserved for more urgent requests"
	case "yielded":
		return "a more urgent request waited"
	case "cold":
		return "only servers were left that had just started, and the entry had used its share of them"
	default:
		return "the entry gave the reason " + reason
	}
}
