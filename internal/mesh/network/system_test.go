package network

import (
	"context"
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSystemConnects(t *testing.T) {
	c := qt.New(t)
	// Given a listener on loopback,
	listener, err := System{}.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = conn.Write([]byte("hello"))
			_ = conn.Close()
		}
	}()
	// when it is dialed with options, then the connection carries bytes,
	options := DialOptions{Timeout: time.Second, UnackedTimeout: time.Second, NoKeepAlive: true}
	conn, err := System{}.Dial(context.Background(), listener.Addr().String(), options)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	text, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Equals, "hello")
	// and a second listener on the same port is refused.
	_, err = System{}.Listen(listener.Addr().String())
	c.Assert(Error.Has(err), qt.IsTrue)
	c.Assert(errors.Is(err, syscall.EADDRINUSE), qt.IsTrue)
}

func TestSystemSendsDatagrams(t *testing.T) {
	c := qt.New(t)
	from, err := System{}.ListenPacket("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = from.Close() }()
	to, err := System{}.ListenPacket("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = to.Close() }()
	_, err = from.WriteTo([]byte("x"), to.LocalAddr())
	c.Assert(err, qt.IsNil)
	buffer := make([]byte, 8)
	size, _, err := to.ReadFrom(buffer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(buffer[:size]), qt.Equals, "x")
}
