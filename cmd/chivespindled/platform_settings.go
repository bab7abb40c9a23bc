package main

import (
	"context"
	"net/netip"
	"reflect"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/platform"
)

// settingsPollInterval is how often the settings file is read: it may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// seedSetter accepts the seeds named in the settings. The other settings are
// fixed for the lifetime of the process.
type seedSetter interface {
	SetSeeds(ctx context.Context, seeds []netip.Addr) error
}

// followSettings reloads the settings every settingsPollInterval and on SIGHUP.
func (b *platformBase) followSettings(setter seedSetter) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-b.signals.hangups:
				b.logger.Info("hangup")
			case <-ticker.C:
			}
			b.reloadSettings(ctx, setter)
		}
	}
}

func (b *platformBase) reloadSettings(ctx context.Context, setter seedSetter) {
	s, err := platform.LoadSettings()
	if err != nil {
		b.logger.Error("settings_not_reloaded", zap.Error(err))
		return
	}
	if reflect.DeepEqual(s, b.current.Load()) {
		return
	}
	b.current.Store(s)
	b.logger.Info("settings_reloaded", zap.Int("seeds", len(s.Seeds)))
	if err := setter.SetSeeds(ctx, s.Seeds); err != nil {
		b.logger.Error("seeds_not_taken", zap.Error(err))
	}
}
