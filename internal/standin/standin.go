// Package standin holds what the tests of several packages share: servers on loopback that tests script, and
// logs that tests can read. It is for tests only.
package standin

import (
	"errors"
	"flag"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// Listen opens a listener on loopback for the length of a test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// HTTP serves a handler on loopback for the length of a test and gives its address.
func HTTP(t testing.TB, h http.Handler) string {
	t.Helper()
	l := Listen(t)
	server := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("a stand-in server ended: %v", err)
		}
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return l.Addr().String()
}

// Raw hands every accepted connection to handle, which closes it by returning.
func Raw(t testing.TB, handle func(net.Conn)) string {
	t.Helper()
	l := Listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}

// Hangup closes the connection of a request at once, without an answer or in the middle of one.
func Hangup(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// Log is a log that goes nowhere.
func Log() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// Steady makes rapid draw the same steps in every run, unless the command line gives a seed: a verdict must not
// depend on the day. For a wider search run a test with -rapid.seed or more -rapid.checks.
func Steady(t testing.TB) {
	t.Helper()
	seed := flag.Lookup("rapid.seed")
	if seed == nil {
		t.Fatal("the test does not use rapid")
	}
	if seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("20261201"); err != nil {
			t.Fatal(err)
		}
	}
}

// Eventually waits for something to become true.
func Eventually(t testing.TB, within time.Duration, what string, is func() bool) {
	t.Helper()
	require.Eventually(t, is, within, time.Millisecond, what)
}

// HalfClosed sends a request, closes the sending side of the connection and returns all that comes back until its end.
func HalfClosed(t testing.TB, address, request string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // a connection that failed already fails the read too
	_, err = io.WriteString(conn, request)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	received, err := io.ReadAll(conn)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Fatal(err)
	}
	return string(received)
}
