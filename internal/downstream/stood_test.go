package downstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sumacloft/internal/inflight"
	"sumacloft/internal/standin"
)

// A process that was stopped wakes with its timers first. A head that came meanwhile is read all the same, once; one that
// never came is not waited for.
func TestHeadsThatLayUnread(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	g := New(4, inflight.New(inflight.Limits{Bytes: 1 << 20, Connections: 4}, inflight.Hooks{}))
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	c, err := g.Listen(l).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw := c.(*Conn).Conn
	over := func() { // as net/http's time for the head, passed while nothing ran
		t.Helper()
		if err := c.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	send := func(text string) {
		t.Helper()
		if _, err := io.WriteString(near, text); err != nil {
			t.Fatal(err)
		}
		standin.Eventually(t, time.Second, "it has come", func() bool { return !quiet(raw) })
	}
	p := make([]byte, 4<<10)
	send(get)
	over()
	if n, err := c.Read(p); string(p[:n]) != get {
		t.Fatalf("read %q, %v", p[:n], err)
	}
	over()
	if n, err := c.Read(p); n > 0 || err == nil {
		t.Fatalf("nothing had come, and it read %q, %v", p[:n], err)
	}
	send(get[:9])
	over()
	if n, err := c.Read(p); n > 0 || err == nil { // its second time ran out without the rest
		t.Fatalf("half a head: read %q, %v", p[:n], err)
	}
	send(get[9:])
	over()
	if n, err := c.Read(p); n > 0 || err == nil {
		t.Fatalf("time was given twice to one head: read %q, %v", p[:n], err)
	}
}

// The first look after a pause leaves heads to their readers; the next does not.
func TestSweepAfterAPause(t *testing.T) {
	g, _, dial := serve(t, 4)
	c, now := dial(), time.Now()
	g.sweep(now)
	if _, err := io.WriteString(c, get[:9]); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, time.Second, "the head has begun", func() bool { return g.Idle() == 0 && g.count() == 1 })
	g.sweep(now.Add(3 * time.Second))
	if _, err := io.WriteString(c, get[9:]); err != nil {
		t.Fatal(err)
	}
	if status, _, err := answer(c); err != nil || status != http.StatusOK {
		t.Fatalf("after a pause: %d, %v", status, err)
	}
	if _, err := io.WriteString(c, get[:9]); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, time.Second, "the next has begun", func() bool { return g.Idle() == 0 })
	for at := 3 * time.Second; at <= 7*time.Second; at += sweepInterval {
		g.sweep(now.Add(at))
	}
	if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Fatalf("a head that does not end was waited for: %v", err)
	}
}
