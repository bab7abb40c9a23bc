package fleet_test

import (
	"testing"

	"chivespindle.example/core/fleet"
)

func TestStartReplaces(t *testing.T) {
	for _, c := range []struct {
		before, now fleet.StartTime
		want        bool
	}{
		{1000, 1000, false},
		{1000, 2000, true},
		{2000, 1000, true}, // clock was set back
		{0, 1000, false},   // not reported before
		{1000, 0, false},   // not reported now
	} {
		if got := c.now.Replaces(c.before); got != c.want {
			t.Errorf("%d after %d: %v", c.now, c.before, got)
		}
	}
}
