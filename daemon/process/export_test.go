package process

// For tests.
var (
	CallerLimits = callerLimits
	BodyBudget   = bodyBudget
)
