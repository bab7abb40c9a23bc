package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/standstill"
)

// signals are those that a process handles from before it opens its ports until its end:
// their default action would cut off the connections that are accepted meanwhile.
type signals struct {
	since        time.Time
	terminations chan os.Signal
	hangups      chan os.Signal
}

// handleSignals begins to handle the signals. Those that come before they are received from
// their channels are kept.
func handleSignals() signals {
	s := signals{since: time.Now(), terminations: make(chan os.Signal, 1), hangups: make(chan os.Signal, 1)}
	signal.Notify(s.terminations, syscall.SIGTERM)
	signal.Notify(s.hangups, syscall.SIGHUP)
	// Otherwise a line on a standard output or error that nobody reads any more kills the process.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// stopper waits for a signal and then lets the process leave gracefully. Further signals
// change nothing, since supervisors may repeat them and an end would cut off the requests in
// flight. Only a second SIGINT ends the process immediately.
//
// A supervisor counts the time of a stop from when it sends the signal. A process that stands still meanwhile
// handles it late, so the stop is taken to have begun when the process last ran before.
type stopper struct {
	instance     instance
	logger       *zap.Logger
	runs         *standstill.Recorder // nil if the stop begins when the signal is handled
	terminations <-chan os.Signal
	interrupts   chan os.Signal
	done         chan struct{}
}

func newStopper(inst instance, logger *zap.Logger, terminations <-chan os.Signal, runs *standstill.Recorder) *stopper {
	const queue = 2
	s := &stopper{
		instance: inst, logger: logger, runs: runs, done: make(chan struct{}),
		terminations: terminations, interrupts: make(chan os.Signal, queue),
	}
	signal.Notify(s.interrupts, syscall.SIGINT)
	return s
}

// wait returns nil once the process has left, so that the other actors are
// interrupted only then.
func (s *stopper) wait() error {
	var first os.Signal
	select {
	case <-s.done:
		return nil
	case first = <-s.terminations:
	case first = <-s.interrupts:
	}
	now := time.Now()
	began := now
	if s.runs != nil {
		began = s.runs.PendingSince(now)
	}
	s.logger.Info("stop_requested", zap.Stringer("signal", first), zap.Duration("late", now.Sub(began)))
	left := make(chan struct{})
	go func() {
		s.instance.Leave(began)
		close(left)
	}()
	return s.waitLeft(left, first == syscall.SIGINT, began)
}

// waitLeft waits until the process has left or is interrupted for the second time.
func (s *stopper) waitLeft(left <-chan struct{}, isInterrupted bool, began time.Time) error {
	reported := make(map[os.Signal]bool)
	for {
		var further os.Signal
		select {
		case <-left:
			return nil
		case <-s.done:
			return nil
		case further = <-s.terminations:
		case further = <-s.interrupts:
			if isInterrupted {
				s.logger.Warn("stop_aborted", zap.Stringer("signal", further), zap.Duration("after", time.Since(began)))
				return failure.Refused.New("stopped immediately by a second %s", further)
			}
			isInterrupted = true
		}
		if !reported[further] {
			reported[further] = true
			s.logger.Info("stop_continues", zap.Stringer("signal", further), zap.Duration("after", time.Since(began)))
		}
	}
}

func (s *stopper) interrupt(error) {
	signal.Reset(syscall.SIGINT)
	close(s.done)
}
