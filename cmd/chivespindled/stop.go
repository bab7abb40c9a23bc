package main

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"chivespindle.example/core/failure"
)

// stopper waits for a signal and then lets the process leave gracefully. A
// second signal stops it immediately.
type stopper struct {
	instance instance
	logger   *zap.Logger
	signals  chan os.Signal
	done     chan struct{}
}

func newStopper(inst instance, logger *zap.Logger) *stopper {
	const queue = 2
	s := &stopper{instance: inst, logger: logger, signals: make(chan os.Signal, queue), done: make(chan struct{})}
	signal.Notify(s.signals, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// wait returns nil once the process has left, so that the other actors are
// interrupted only then.
func (s *stopper) wait() error {
	select {
	case <-s.done:
		return nil
	case sig := <-s.signals:
		s.logger.Info("stop_requested", zap.Stringer("signal", sig))
	}
	left := make(chan struct{})
	go func() {
		s.instance.Leave()
		close(left)
	}()
	select {
	case <-left:
		return nil
	case <-s.done:
		return nil
	case sig := <-s.signals:
		return failure.Refused.New("stopped immediately by a second %s", sig)
	}
}

func (s *stopper) interrupt(error) {
	signal.Stop(s.signals)
	close(s.done)
}
