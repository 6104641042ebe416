package network

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// System is the operating system's network. Its zero value is ready to use.
type System struct{}

// Listen implements Network.
func (System) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return listener, nil
}

// Dial implements Network.
func (System) Dial(ctx context.Context, address string, options DialOptions) (net.Conn, error) {
	dialer := net.Dialer{Timeout: options.Timeout}
	if options.NoKeepAlive {
		dialer.KeepAlive = -1
	}
	if options.UnackedTimeout > 0 {
		dialer.Control = userTimeout(options.UnackedTimeout)
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// ListenPacket implements Network.
func (System) ListenPacket(address string) (net.PacketConn, error) {
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return socket, nil
}

// userTimeout makes the kernel close a connection whose peer acknowledges nothing, such as a machine that has lost power.
func userTimeout(silence time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}
