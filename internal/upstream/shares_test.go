package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/core"
	"sumacloft/internal/mesh/network"
)

// pipeNetwork has workers in memory, each of which takes so long for a request.
type pipeNetwork struct {
	network.Network
	work time.Duration

	mu     sync.Mutex
	refuse bool
	dialed int
	open   int
	most   int // open at once
}

// pipeEnd is a pool's end of a pipe.
type pipeEnd struct {
	net.Conn
	once sync.Once
	of   *pipeNetwork
}

func (e *pipeEnd) Quiet() bool { return true }

func (e *pipeEnd) Close() error {
	e.once.Do(func() {
		e.of.mu.Lock()
		defer e.of.mu.Unlock()
		e.of.open--
	})
	return e.Conn.Close()
}

// Dial serves network.Network.
func (n *pipeNetwork) Dial(context.Context, string, network.DialOptions) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refuse {
		return nil, errors.New("refused")
	}
	n.dialed++
	n.open++
	n.most = max(n.most, n.open)
	near, far := net.Pipe()
	go n.serve(far)
	return &pipeEnd{Conn: near, of: n}, nil
}

func (n *pipeNetwork) serve(far net.Conn) {
	requests := bufio.NewReader(far)
	for {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		time.Sleep(n.work)
		if _, err := io.WriteString(far, small); err != nil {
			return
		}
	}
}

func (n *pipeNetwork) count() (dialed, open, most int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dialed, n.open, n.most
}

const sharedWorker = "10.0.0.1:80"

// withShare runs a test of a pool whose share of the worker is so many connections; 0: there is no bound.
func withShare(t *testing.T, share int, work time.Duration, test func(c *qt.C, p *Pool, n *pipeNetwork)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &pipeNetwork{work: work}
		p := NewPoolOn(Terms{Network: n}, NewBudget(1000), time.Second, time.Hour)
		p.Allot(map[string]int{sharedWorker: share})
		test(qt.New(t), p, n)
		p.Drop(sharedWorker)
		synctest.Wait()
	})
}

func attempted() error { return nil }

// call makes one exchange.
func call(p *Pool, clear func() error) error {
	answer, err := p.Do(context.Background(), sharedWorker, "GET", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), clear)
	if err != nil {
		return err
	}
	_, err = answer.Small()
	return err
}

// callAll makes so many attempts at once and counts those that came to nothing.
func callAll(p *Pool, calls int) (failed int, errs []error) {
	var all sync.WaitGroup
	results := make([]error, calls)
	for i := range calls {
		all.Go(func() { results[i] = call(p, attempted) })
	}
	all.Wait()
	for _, err := range results {
		if err != nil {
			failed++
			errs = append(errs, err)
		}
	}
	return failed, errs
}

func TestConnectionsKeepToTheShare(t *testing.T) {
	// Given a share of 3, when 6 calls come at once that take 20 ms, then they use 3 connections, one after the other.
	withShare(t, 3, 20*time.Millisecond, func(c *qt.C, p *Pool, n *pipeNetwork) {
		failed, errs := callAll(p, 6)
		c.Assert(failed, qt.Equals, 0, qt.Commentf("%v", errs))
		dialed, _, most := n.count()
		c.Assert([]int{dialed, most}, qt.DeepEquals, []int{3, 3})
	})
	// Given connections that are in use for long, when further calls come, then they are not sent, and nothing is said
	// of the worker.
	withShare(t, 3, time.Second, func(c *qt.C, p *Pool, n *pipeNetwork) {
		began := time.Now()
		failed, errs := callAll(p, 5)
		c.Assert(failed, qt.Equals, 2)
		for _, err := range errs {
			var attempt *core.AttemptError
			c.Assert(errors.As(err, &attempt), qt.IsTrue)
			c.Assert(attempt.Stage, qt.Equals, core.NotConnected)
			c.Assert(core.Withdrawn(err), qt.IsTrue)
		}
		_, _, most := n.count()
		c.Assert(most, qt.Equals, 3)
		c.Assert(time.Since(began), qt.Equals, time.Second)
	})
	// Given no bound, when many calls come at once, then none waits.
	withShare(t, 0, time.Second, func(c *qt.C, p *Pool, n *pipeNetwork) {
		failed, _ := callAll(p, 40)
		c.Assert(failed, qt.Equals, 0)
		_, _, most := n.count()
		c.Assert(most, qt.Equals, 40)
	})
}

func TestCallBeyondTheShareWaitsForAShortTime(t *testing.T) {
	withShare(t, 1, time.Second, func(c *qt.C, p *Pool, _ *pipeNetwork) {
		go func() { _ = call(p, attempted) }()
		synctest.Wait()
		began := time.Now()
		c.Assert(errors.Is(call(p, attempted), core.ErrNoSocket), qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, shareWait)
		time.Sleep(time.Second)
	})
}

func TestShareKeepsOneForCallsThatEndSomething(t *testing.T) {
	withShare(t, spareFrom, time.Second, func(c *qt.C, p *Pool, _ *pipeNetwork) {
		go func() { _, _ = callAll(p, spareFrom-1) }()
		synctest.Wait()
		c.Assert(errors.Is(call(p, attempted), core.ErrNoSocket), qt.IsTrue)
		c.Assert(call(p, nil), qt.IsNil)
		time.Sleep(time.Second)
	})
}

func TestSmallerShareClosesIdleConnections(t *testing.T) {
	withShare(t, 10, 20*time.Millisecond, func(c *qt.C, p *Pool, n *pipeNetwork) {
		// Given 8 connections, 2 of them in use.
		_, _ = callAll(p, 8)
		time.Sleep(time.Second)
		go func() { _, _ = callAll(p, 2) }()
		synctest.Wait()
		// When the share becomes 3, then 5 idle ones are closed at once.
		p.Allot(map[string]int{sharedWorker: 3})
		_, open, _ := n.count()
		c.Assert(open, qt.Equals, 3)
		// When it becomes 1, then those in use are closed once their exchange has ended.
		p.Allot(map[string]int{sharedWorker: 1})
		time.Sleep(time.Second)
		_, open, _ = n.count()
		c.Assert(open, qt.Equals, 1)
	})
}

func TestLargerShareIsUsedAtOnce(t *testing.T) {
	withShare(t, 1, time.Second, func(c *qt.C, p *Pool, _ *pipeNetwork) {
		go func() { _ = call(p, attempted) }()
		synctest.Wait()
		go func() {
			time.Sleep(shareWait / 2)
			p.Allot(map[string]int{sharedWorker: 2})
		}()
		began := time.Now()
		c.Assert(call(p, attempted), qt.IsNil)
		c.Assert(time.Since(began), qt.Equals, shareWait/2+time.Second)
	})
}

func TestConnectionsThatDoNotComeUpGiveTheirPlaceBack(t *testing.T) {
	withShare(t, 2, time.Millisecond, func(c *qt.C, p *Pool, n *pipeNetwork) {
		n.refuse = true
		for range 5 {
			c.Assert(errors.Is(call(p, attempted), core.ErrNoSocket), qt.IsFalse)
		}
		n.refuse = false
		c.Assert(call(p, attempted), qt.IsNil)
		c.Assert(p.shares.open, qt.DeepEquals, map[string]int{sharedWorker: 1})
		p.Drop(sharedWorker)
		c.Assert(p.shares.open, qt.HasLen, 0)
	})
}
