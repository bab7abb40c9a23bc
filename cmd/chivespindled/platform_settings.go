package main

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/platform"
)

// settingsEvery is how often the settings file is looked at: it may change
// without a signal.
const settingsEvery = 2 * time.Second

// seedTaker uses the seeds that the settings name. The other settings hold for
// the life of a process.
type seedTaker interface {
	SetSeeds(ctx context.Context, seeds []netip.Addr) error
}

// followSettings reads the settings again on SIGHUP, which would end the
// process if nobody took it, and every settingsEvery.
func (b *platformBase) followSettings(taker seedTaker) func(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return func(ctx context.Context) error {
		defer signal.Stop(hangups)
		ticker := time.NewTicker(settingsEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hangups:
				b.logger.Info("hangup")
			case <-ticker.C:
			}
			b.reloadSettings(ctx, taker)
		}
	}
}

func (b *platformBase) reloadSettings(ctx context.Context, taker seedTaker) {
	s, err := platform.LoadSettings()
	if err != nil {
		b.logger.Error("settings_not_reloaded", zap.Error(err))
		return
	}
	if reflect.DeepEqual(s, b.settings) {
		return
	}
	b.settings = s
	b.logger.Info("settings_reloaded", zap.Int("seeds", len(s.Seeds)))
	if err := taker.SetSeeds(ctx, s.Seeds); err != nil {
		b.logger.Error("seeds_not_taken", zap.Error(err))
	}
}
