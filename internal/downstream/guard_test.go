package downstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sumacloft/internal/inflight"
	"sumacloft/internal/standin"
)

// echo answers with what it took for a request, after holding has let it.
type echo struct {
	mu      sync.Mutex
	seen    []string
	holding chan struct{}
	in      int // requests that wait
}

func (e *echo) hold(c chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holding, e.in = c, 0
}

// entered waits until a request has come since hold.
func (e *echo) entered(t *testing.T) {
	standin.Eventually(t, time.Second, "the request has come", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.in > 0 })
}

func (e *echo) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, free, err := Body(w, req)
	if err != nil {
		http.Error(w, err.Error(), err.(*Fault).Status)
		return
	}
	defer free()
	e.mu.Lock()
	e.seen = append(e.seen, req.Method+" "+req.URL.Path)
	hold := e.holding
	e.in++
	e.mu.Unlock()
	if hold != nil {
		<-hold
	}
	_, _ = fmt.Fprintf(w, "%s %d", req.URL.Path, len(body))
}

// serve runs a guard of so many connections.
func serve(t *testing.T, most int) (g *Guard, e *echo, dial func() net.Conn) {
	return serveWithin(t, inflight.Limits{Bytes: 1 << 20, Connections: most})
}

// serveWithin runs a guard whose requests share an account.
func serveWithin(t *testing.T, limits inflight.Limits) (g *Guard, e *echo, dial func() net.Conn) {
	g, e = New(limits.Connections, inflight.New(limits, inflight.Hooks{})), &echo{}
	l := standin.Listen(t)
	server := g.Server(e, nil)
	go func() { _ = server.Serve(g.Listen(l)) }()
	ctx, stop := context.WithCancel(context.Background())
	go g.Sweep(ctx)
	t.Cleanup(func() { stop(); _ = server.Close() })
	return g, e, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		return c
	}
}

// count is how many connections the guard has.
func (g *Guard) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

const get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"

// What a bad client sends is answered with an error, or its connection closed, within the 3 s that it is owed, and
// none of it is taken for a request, above all not what stands in a body.
func TestBadClients(t *testing.T) {
	hidden := "POST /hidden HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	head := func(fields string) string { return "POST /a HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" }
	for name, c := range map[string]struct{ text, status string }{
		"both lengths":      {head("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden, "400"},
		"both, other order": {head("transfer-encoding: chunked\r\ncontent-length: 70\r\n") + "0\r\n\r\n" + hidden, "400"},
		"both, folded":      {head("Content-Length: 5\r\nTransfer-Encoding:\r\n chunked\r\n") + "0\r\n\r\n" + hidden, "400"},
		"both, bare lines":  {strings.ReplaceAll(head("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"), "\r", "") + "0\r\n\r\n" + hidden, "400"},
		"length twice":      {head("Content-Length: 5\r\nContent-Length: 5\r\n") + "hello" + hidden, "400"},
		"two lengths":       {head("Content-Length: 5\r\nContent-Length: 6\r\n") + "hello" + hidden, "400"},
		"list of lengths":   {head("Content-Length: 5, 5\r\n") + "hello" + hidden, "400"},
		"negative length":   {head("Content-Length: -5\r\n") + hidden, "400"},
		"signed length":     {head("Content-Length: +5\r\n") + "hello" + hidden, "400"},
		"length too large":  {head("Content-Length: 99999999999999999999\r\n") + hidden, "400"},
		"odd coding":        {head("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n" + hidden, "501"},
		"space before":      {head("Transfer-Encoding : chunked\r\nContent-Length: 0\r\n") + "0\r\n\r\n" + hidden, "400"},
		"huge body":         {head("Content-Length: 60000000\r\n") + strings.Repeat("x", 1<<20), "413"},
		"huge chunk":        {head("Transfer-Encoding: chunked\r\n") + "4000000\r\n" + strings.Repeat("x", 1<<20), "413"},
		"not HTTP":          {"\x16\x03\x01\r\n\r\n", "400"},
		"endless head":      {head(strings.Repeat("X-Pad: "+strings.Repeat("x", 1000)+"\r\n", 100)), "431"},
		"endless line":      {"GET /" + strings.Repeat("x", 1<<17), "431"},
		"silent":            {"", ""},
		"half a head":       {"POST /a HTTP/1.1\r\nHo", ""},
		"half a body":       {head("Content-Length: 50\r\n") + "half", "400"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, e, dial := serve(t, 10)
			conn, began := dial(), time.Now()
			go func() { _, _ = io.WriteString(conn, c.text) }()
			answer, _ := io.ReadAll(conn) // a reset, after what was sent, is a close too
			if took := time.Since(began); took > 2900*time.Millisecond {
				t.Errorf("took %v", took)
			}
			if got := string(answer); c.status == "" && got != "" || c.status != "" && !strings.HasPrefix(got, "HTTP/1.1 "+c.status) {
				t.Errorf("answer %.300q", got)
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if len(e.seen) > 0 {
				t.Errorf("taken for requests: %q", e.seen)
			}
		})
	}
}

// A chunked request is served, but the connection ends with it; what follows a body that was said too short is not
// part of it.
func TestFraming(t *testing.T) {
	_, _, dial := serve(t, 10)
	for text, want := range map[string][]string{
		"POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get:          {"/c 3"},
		"\r\n" + get + "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc\r\n" + get + "junk\r\n\r\n": {"/a 0", "/b 3", "/a 0", "400"},
	} {
		conn := dial()
		_, _ = io.WriteString(conn, text)
		br := bufio.NewReader(conn)
		for _, w := range want {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("%q: %v instead of %s", text, err, w)
			}
			body, _ := io.ReadAll(resp.Body)
			if got := string(body); got != w && fmt.Sprint(resp.StatusCode) != w {
				t.Errorf("%q: %q instead of %s", text, got, w)
			}
		}
		if _, err := br.ReadByte(); err == nil {
			t.Errorf("%q: the connection goes on", text)
		}
	}
}

// Bytes held for bodies have a bound, past which a client is told to come again, and come back when a body is let go.
func TestBodiesHeld(t *testing.T) {
	// One body of 60 KiB is charged 204 KiB with its copies, and fits.
	g, e, dial := serveWithin(t, inflight.Limits{Bytes: 300 << 10, Connections: 10})
	e.hold(make(chan struct{}))
	post := fmt.Sprintf("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 60<<10, strings.Repeat("x", 60<<10))
	first, second := dial(), dial()
	_, _ = io.WriteString(first, post)
	standin.Eventually(t, time.Second, "the first is held", func() bool { return g.account.Held() >= 204<<10 })
	_, _ = io.WriteString(second, post)
	if resp, err := http.ReadResponse(bufio.NewReader(second), nil); err != nil || resp.StatusCode != 503 {
		t.Errorf("the second got %v, %v", resp, err)
	}
	close(e.holding)
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the first got %v, %v", resp, err)
	}
	standin.Eventually(t, time.Second, "all comes back", func() bool { return g.account.Held() == 0 })
}

// Requests that are open have a bound below that of the connections: who comes past it is told at once that it may come
// again, and a place comes back with the end of a request. In the backlog it would have waited past its time.
func TestOpenRequests(t *testing.T) {
	g, e, dial := serve(t, 16)
	e.hold(make(chan struct{}))
	for range 15 {
		_, _ = io.WriteString(dial(), get)
	}
	standin.Eventually(t, time.Second, "all are open", func() bool { g.mu.Lock(); defer g.mu.Unlock(); return g.open == 0 })
	for range 3 {
		conn, began := dial(), time.Now()
		_, _ = io.WriteString(conn, get)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || time.Since(began) > 500*time.Millisecond {
			t.Errorf("one too many got %v, %v after %v", resp, err, time.Since(began))
		}
	}
	close(e.holding)
	standin.Eventually(t, time.Second, "places come back", func() bool { g.mu.Lock(); defer g.mu.Unlock(); return g.open == 15 })
}

// client is what the model knows of a connection.
type client struct {
	net.Conn
	answer chan struct{} // lets its open request be answered; nil: it has none
}

// The model of the guard's connections: new, idle or with an open request. What it guards: however many say nothing,
// a new client is let in as long as one has no open request; the one idle for longest goes for it; and none goes that
// has a request, whatever else comes.
func TestRoomModel(t *testing.T) {
	standin.Steady(t)
	rapid.Check(t, func(rt *rapid.T) {
		const most = 4
		g, e, dial := serve(t, most)
		var open []*client // by how long they are idle; those with a request anywhere
		pick := func(busy bool) int {
			for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(rt, "order") {
				if i < len(open) && (open[i].answer != nil) == busy {
					return i
				}
			}
			rt.Skip("none")
			return 0
		}
		last := func(c *client) { // waits until the guard has it as the one that became idle last
			standin.Eventually(t, time.Second, "it is idle", func() bool {
				g.mu.Lock()
				defer g.mu.Unlock()
				back := g.idle.Back()
				return back != nil && back.Value.(*Conn).RemoteAddr().String() == c.LocalAddr().String()
			})
		}
		rt.Repeat(map[string]func(*rapid.T){
			"connect": func(rt *rapid.T) {
				victim := slices.IndexFunc(open, func(c *client) bool { return c.answer == nil })
				if len(open) == most && victim < 0 {
					rt.Skip("all have a request")
				}
				c := &client{Conn: dial()}
				if len(open) == most {
					if n, err := open[victim].Read(make([]byte, 1)); err == nil {
						rt.Fatalf("the one idle for longest reads %d bytes", n)
					}
					open = slices.Delete(open, victim, victim+1)
				}
				last(c)
				open = append(open, c)
			},
			"ask": func(rt *rapid.T) {
				c := open[pick(false)]
				c.answer = make(chan struct{})
				e.hold(c.answer)
				_, _ = io.WriteString(c, get)
				e.entered(t)
			},
			"answer": func(rt *rapid.T) {
				at := pick(true)
				c := open[at]
				close(c.answer)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil || resp.StatusCode != 200 {
					rt.Fatalf("%v, %v", resp, err)
				}
				last(c)
				c.answer = nil
				open = append(slices.Delete(open, at, at+1), c)
			},
			"leave": func(rt *rapid.T) {
				at := pick(false)
				_ = open[at].Close()
				open = slices.Delete(open, at, at+1)
			},
			"": func(*rapid.T) {
				standin.Eventually(t, time.Second, "the guard has as many as the model", func() bool { return g.count() == len(open) })
			},
		})
		for _, c := range open {
			if c.answer != nil {
				close(c.answer)
			}
		}
	})
}

// With more than half of the places taken those idle for minIdleTime go, never one with a request; with fewer all stay.
func TestIdleLetGo(t *testing.T) {
	g, e, dial := serve(t, 4)
	busy, idle := dial(), dial()
	hold := make(chan struct{})
	e.hold(hold)
	_, _ = io.WriteString(busy, get)
	e.entered(t)
	for _, ahead := range []time.Duration{minIdleTime / 2, 2 * minIdleTime} {
		g.sweep(time.Now().Add(ahead))
	}
	if n := g.count(); n != 2 {
		t.Errorf("%d left of 2 with room for 4", n)
	}
	dial()
	standin.Eventually(t, time.Second, "three are there", func() bool { return g.count() == 3 })
	g.sweep(time.Now().Add(minIdleTime / 2))
	if n := g.count(); n != 3 {
		t.Errorf("%d left of 3 that have just come", n)
	}
	g.sweep(time.Now().Add(2 * minIdleTime))
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the one idle for longest: %v", err)
	}
	close(hold)
	if resp, err := http.ReadResponse(bufio.NewReader(busy), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the one with a request got %v, %v", resp, err)
	}
}
