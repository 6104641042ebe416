// Package network abstracts the connections and datagrams between the fleet's processes. Processes receive a Network, so that
// tests can run a whole fleet on an in-memory one.
package network

import (
	"context"
	"net"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of failures to listen: the port may be in use, or the address may not belong to this machine. Errors of
// Dial are returned unwrapped.
var Error = errs.Class("network: check that the address is this machine's and the port is free")

// Network opens and accepts connections. Addresses have the form IP:PORT. Safe for concurrent use.
type Network interface {
	// Listen accepts TCP connections at an address.
	Listen(address string) (net.Listener, error)
	// Dial opens a TCP connection to an address. The context bounds the time to connect, not the connection's lifetime.
	Dial(ctx context.Context, address string, options DialOptions) (net.Conn, error)
	// ListenPacket sends and receives UDP datagrams at an address.
	ListenPacket(address string) (net.PacketConn, error)
}

// DialOptions are the options of a connection. The zero value stands for the operating system's defaults.
type DialOptions struct {
	Timeout        time.Duration // timeout to connect; 0: the system's default
	UnackedTimeout time.Duration // limit for written bytes to stay unacknowledged; 0: the system's default
	NoKeepAlive    bool          // disables TCP keep-alive probes
}

// Quieter is a connection that can report whether it is open and has no data to read. The state of the operating system's
// connections is read through their descriptors instead.
type Quieter interface{ Quiet() bool }
