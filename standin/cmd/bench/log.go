package main

import (
	"os"
	"runtime/pprof"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chivespindle.example/adapters/telemetry"
)

// fileLogger returns a logger that writes debug logs to a file, for the analysis
// of a measurement.
func fileLogger(path string) *zap.Logger {
	file, err := os.Create(path)
	if err != nil {
		fail(err)
	}
	return telemetry.NewLogger(zapcore.DebugLevel, file)
}

// startProfile writes a CPU profile to a file until the returned function is
// called. It does nothing if path is empty.
func startProfile(path string) (stop func()) {
	if path == "" {
		return func() {}
	}
	file, err := os.Create(path)
	if err != nil {
		fail(err)
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		fail(err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}
}
