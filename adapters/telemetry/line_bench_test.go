package telemetry_test

import (
	"io"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chivespindle.example/adapters/telemetry"
)

// BenchmarkLine writes a line as long as that of a refused request to a queue
// that is not drained.
func BenchmarkLine(b *testing.B) {
	logger := telemetry.NewLogger(zapcore.InfoLevel, telemetry.NewQueue(io.Discard)).With(zap.String("instance", "front-1"))
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("refused", zap.String("request", "9abf36f207f8690a"), zap.Duration("age", 97*time.Microsecond),
			zap.String("route", "r-47izqfh"), zap.String("kind", "stream"), zap.Int64("config", 9),
			zap.Int("attempts", 0), zap.Int("unsent", 0), zap.String("code", "unavailable"), zap.String("reason", "full"),
			zap.Duration("retry_after", 1620*time.Millisecond), zap.Bool("begun", false), zap.Bool("may_have_run", false))
	}
}
