package downstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sumacloft/internal/standin"
)

// answer reads one answer; told says that the connection ends with it.
func answer(c net.Conn) (status int, told bool, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Close, err
}

// A new connection that is closed without an answer counts as a refusal: while places are left none is, whatever
// happens between its coming and its first byte. Counted over routers that are emptied, one after the other and again, and
// over such as have half of their places taken.
func TestNewConnectionsAreAnswered(t *testing.T) {
	const most, rounds = 16, 8
	g, _, dial := serve(t, most)
	asked, answered := 0, 0
	for round := range rounds {
		g.Shed(round%2 == 0)
		var fresh []net.Conn
		for range most - 2 {
			fresh = append(fresh, dial())
		}
		standin.Eventually(t, time.Second, "all are there", func() bool { return g.count() == len(fresh) })
		for ahead := time.Duration(0); ahead < minIdleTime-200*time.Millisecond; ahead += sweepInterval {
			g.sweep(time.Now().Add(ahead))
		}
		for _, c := range fresh {
			asked++
			_, _ = io.WriteString(c, get)
		}
		for i, c := range fresh {
			if status, _, err := answer(c); err != nil || status != http.StatusOK {
				t.Errorf("round %d, connection %d: %d, %v", round, i, status, err)
				continue
			}
			answered++
		}
		for _, c := range fresh {
			_ = c.Close()
		}
		standin.Eventually(t, time.Second, "all are gone", func() bool { return g.count() == 0 })
	}
	t.Logf("%d of %d new connections answered", answered, asked)
}

// Emptying goes on: a connection that has had its answer is closed, and so is a new one that stays silent.
func TestShedStillEmpties(t *testing.T) {
	g, _, dial := serve(t, 16)
	served, silent := dial(), dial()
	_, _ = io.WriteString(served, get)
	if _, _, err := answer(served); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, time.Second, "both are idle", func() bool { return g.Idle() == 2 })
	g.Shed(true)
	g.sweep(time.Now())
	if n, err := served.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the one that was served: %d, %v", n, err)
	}
	if g.count() != 1 {
		t.Errorf("%d are left, the silent one should be", g.count())
	}
	g.sweep(time.Now().Add(minIdleTime))
	if n, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the silent one: %d, %v", n, err)
	}
}
