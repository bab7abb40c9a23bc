package agent

import (
	"chivespindle.example/core/serving"
)

// Reported returns the load that entries are told, and a channel that closes
// when they are to be told at once of something else.
func (a *Agent) Reported() (load serving.Load, urgent <-chan struct{}) {
	p := a.report.Load()
	return p.Load, p.next
}
