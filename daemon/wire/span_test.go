package wire_test

import (
	"math"
	"testing"
	"time"

	"chivespindle.example/daemon/wire"
)

// Guards against an odd age in a peer's message that overflows: a version named long ago
// would be named in the future, and engines with the previous one would not be outdated.
func TestAgesDoNotOverflow(t *testing.T) {
	now := time.Now()
	for _, ms := range []int64{math.MinInt64, -9e15, -1, 0, 1500, 9e15, 9223372036855, math.MaxInt64} {
		since := wire.WantedVersion{Model: "m", Version: 2, AgeMS: ms}.NamedVersion(now).Since
		if age := now.Sub(since); ms > 0 != (age > 0) || ms < 0 != (age < 0) || age.Abs() > 200*365*24*time.Hour {
			t.Errorf("an age of %d ms: named %v before now", ms, now.Sub(since))
		}
	}
}
