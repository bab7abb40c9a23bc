package boundedhttp

import (
	"context"
	"errors"
	"net"
	"syscall"

	"go.uber.org/zap"
)

// Listen listens on a TCP address for Serve. Until Serve is called, the kernel accepts connections:
// the bounds hold for those as well, and they keep their receive buffers.
func (s *Server) Listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		s.warnUnbounded(setReceiveBuffer(raw))
		return nil
	}}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	s.boundUnaccepted(l)
	return l, nil
}

// boundUnaccepted bounds what the kernel holds for connections that a listener has not accepted
// yet: the receive buffer of each, which an accepted connection keeps, and their number. Without
// the latter, a process that is not scheduled for a moment gets more than its memory.
func (s *Server) boundUnaccepted(l net.Listener) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = errors.Join(setReceiveBuffer(raw), setBacklog(raw, s.opts.Limits.Connections))
	}
	s.warnUnbounded(err)
}

func (s *Server) warnUnbounded(err error) {
	if err != nil {
		s.opts.Logger.Warn("unaccepted_not_bounded", zap.Error(err))
	}
}

func setReceiveBuffer(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(err, failed)
}

// setBacklog changes how many connections of a listening socket may wait; 0 changes nothing.
func setBacklog(raw syscall.RawConn, connections int) error {
	if connections == 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), connections) })
	return errors.Join(err, failed)
}
