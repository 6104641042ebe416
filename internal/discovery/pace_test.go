package discovery

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"sumacloft/internal/standin"
)

// queue is a discovery of fixed capacity on a clock of the test: calls wait in turn, and one that has waited for
// too long fails, having taken its place all the same.
type queue struct {
	each, most time.Duration
	free       time.Duration
}

func (q *queue) call(now time.Duration) (ends time.Duration, ok bool) {
	q.free = max(q.free, now)
	wait := q.free - now
	if wait > q.most {
		return now + q.most, false
	}
	q.free += q.each
	return q.free, true
}

// follow lets routers call until each is served, and tells when the last one was and how many calls they made.
func follow(paces []*Pace, q *queue, start time.Duration, wait func(*Pace) time.Duration, limit time.Duration) (last time.Duration, calls int) {
	type router struct {
		at   time.Duration
		pace *Pace
	}
	var waiting []router
	for _, p := range paces {
		waiting = append(waiting, router{start + wait(p), p})
	}
	for len(waiting) > 0 {
		slices.SortFunc(waiting, func(a, b router) int { return int(a.at - b.at) })
		next := waiting[0]
		if next.at > limit {
			return limit, calls
		}
		calls++
		ends, ok := q.call(next.at)
		if ok {
			last, waiting = max(last, ends), waiting[1:]
			continue
		}
		waiting[0].at = ends + next.pace.retryDelay(ends-next.at, false)
	}
	return last, calls
}

func fleet(routers int, of func(i int) *Pace) (paces []*Pace) {
	for i := range routers {
		paces = append(paces, of(i))
	}
	return paces
}

// Eighty routers that start at once, or lose their watch at once, must not keep a discovery that serves twenty
// calls a second so full that none of them gets a list.
func TestFleetSharesDiscovery(t *testing.T) {
	const routers = 80
	shared := fleet(routers, func(i int) *Pace { return Shared(routers, uint64(i)+1) })
	q := &queue{each: 50 * time.Millisecond, most: 100 * time.Millisecond}
	last, calls := follow(shared, q, 0, func(p *Pace) time.Duration { return p.firstDelay(false) }, time.Minute)
	if last > 20*time.Second || calls > 2*routers {
		t.Errorf("after a start all are served by %v, with %d calls", last, calls)
	}
	start := last + time.Minute
	last, calls = follow(shared, q, start, func(p *Pace) time.Duration { return p.retryDelay(time.Minute, false) }, start+time.Minute)
	if last-start > 20*time.Second || calls > 2*routers {
		t.Errorf("after a break all are served within %v, with %d calls", last-start, calls)
	}
	// Watches that fall silent all at once are opened anew soon, where that can be had, and all the same in the end.
	for _, each := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond} {
		start = last + time.Minute
		last, calls = follow(shared, &queue{each: each, most: 100 * time.Millisecond}, start, func(p *Pace) time.Duration { return p.retryDelay(time.Minute, true) }, start+time.Minute)
		if took := last - start; took > 20*time.Second || calls > 3*routers || (each < 10*time.Millisecond && took > 6*time.Second-silenceTimeout) {
			t.Errorf("a discovery that takes %v for a call: after a silence all are served within %v, with %d calls", each, took, calls)
		}
	}
	// One far too slow for them all is left time: it is asked a bounded number of times.
	slow := fleet(routers, func(i int) *Pace { return Shared(routers, uint64(i)+1) })
	if _, calls := follow(slow, &queue{each: time.Hour}, 0, func(p *Pace) time.Duration { return p.firstDelay(false) }, time.Minute); calls > 10*routers {
		t.Errorf("%d calls in a minute at a discovery that serves nobody", calls)
	}
}

// An agent of the router's own is asked at once and every pause; a move is followed soon however many there are.
func TestPaceBounds(t *testing.T) {
	if p := (&Pace{}); p.firstDelay(false) != 0 || p.firstDelay(true) != 0 || p.retryDelay(0, false) != localRetryDelay || p.fetchTimeout() != localFetchTimeout {
		t.Error("the agent is not asked at once, or not again after the pause")
	}
	for routers := 1; routers < 2000; routers += 37 {
		p := Shared(routers, uint64(routers))
		for range 20 {
			if wait := p.firstDelay(true); wait > maxMoveDelay {
				t.Fatalf("%d routers: %v before the first call at a new place", routers, wait)
			}
			if wait := p.retryDelay(time.Minute, true); wait > maxMoveDelay {
				t.Fatalf("%d routers: %v after a watch that was heard fell silent", routers, wait)
			}
			if wait := p.retryDelay(0, false); wait < localRetryDelay || wait > maxRetryDelay {
				t.Fatalf("%d routers: %v after a failure", routers, wait)
			}
		}
	}
}

// The list that a router starts with is not asked for again where a call has a price; after a move it is.
func TestKnownListIsWatchedOn(t *testing.T) {
	const whole, watch = "/catalog/members", "/catalog/members?stream=1&index=4"
	for _, c := range []struct {
		pace  *Pace
		from  From
		first string
	}{{Shared(1, 1), From{Revision: 4, Known: true}, watch}, {Shared(1, 1), From{Revision: 4, Moved: true}, whole},
		{&Pace{}, From{Revision: 4, Known: true}, whole}} {
		a := &agent{steps: []func(http.ResponseWriter, *http.Request){says(`{"revision":5,"complete":true,"members":[]}`)}}
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		New(standin.HTTP(t, a), c.pace, standin.Log()).Run(ctx, c.from, func(List) { stop() })
		stop()
		if len(a.asked) == 0 || a.asked[0] != c.first {
			t.Errorf("%+v: asked %q, not %q first", c.from, a.asked, c.first)
		}
	}
}
