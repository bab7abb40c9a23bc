package gossip

import (
	"context"

	"chivespindle.example/core/fleet"
)

// InstanceList is the platform's list of live and leaving instances. It lags by
// seconds to minutes and may be unavailable; callers then keep the last answer.
type InstanceList interface {
	Instances(ctx context.Context) ([]fleet.Instance, error)
}
