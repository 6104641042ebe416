package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// jointLoad are the interactive clients of a joint day. Who is refused comes again when he was told to; a filing comes again with its
// key until it has a final answer, also where a connection broke; a query that broke is asked once more.
type jointLoad struct {
	f      *SiteFleet
	seed   uint64
	zero   time.Time
	client *http.Client
	closed chan struct{}

	mu    sync.Mutex
	list  []Asked
	tries map[string]int
	kept  map[string]bool // answered requests: whether their server had kept the opening
	opens map[string]opened
	cut   []cut
	off   map[string]bool // routers that were ended with no time to answer
	sick  map[string]bool // routers whose health check fails: clients come through a balancer that looks at it
	wrong []string
}

// opened is how a request began, and in which region it was asked.
type opened struct {
	with   string
	region int
}

// cut is a try whose connection broke before there was an answer.
type cut struct {
	router, id string
	at         time.Duration
	why        string
	excused    bool // its router was ended at once
}

func newJointLoad(f *SiteFleet, seed uint64) *jointLoad {
	return &jointLoad{f: f, seed: seed, zero: time.Now(), tries: map[string]int{}, kept: map[string]bool{}, opens: map[string]opened{}, off: map[string]bool{}, sick: map[string]bool{}, closed: make(chan struct{}),
		client: &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

func (l *jointLoad) now() time.Duration { return time.Since(l.zero) }

// close ends the day: nothing new is asked.
func (l *jointLoad) close() { close(l.closed) }

// balance looks at the routers' health, as what stands before them does, until the day is closed.
func (l *jointLoad) balance(ctx context.Context) {
	for {
		select {
		case <-l.closed:
			return
		case <-ctx.Done():
			return
		case <-time.After(balances):
		}
		for _, d := range l.f.Daemons {
			sick := !d.Healthy(ctx)
			l.mu.Lock()
			l.sick[d.Name] = sick
			l.mu.Unlock()
		}
	}
}

// balances is how often the balancer looks.
const balances = 200 * time.Millisecond

// gone tells that a router was ended with no time to answer, or runs again.
func (l *jointLoad) gone(router string, is bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.off[router] = is
}

// run has clients ask until the day is closed, and waits until all have their answers.
func (l *jointLoad) run(ctx context.Context, rate float64) {
	defer l.client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(l.seed, 0x301))
	settling := context.WithoutCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { l.balance(ctx) })
	at := time.Duration(0)
	for n := 1; ; n++ {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		a := Asked{ID: "r" + strconv.Itoa(n), Class: "query", At: at}
		if rng.IntN(5) >= 3 {
			a.Class = "filing"
		}
		first, session := rng.IntN(len(l.f.Daemons)), rng.IntN(400)
		opens := jointOpening(rng, first/2, n)
		select {
		case <-l.closed:
			return
		case <-ctx.Done():
			return
		case <-time.After(time.Until(l.zero.Add(at))):
		}
		all.Go(func() {
			l.ask(settling, &a, first, session, opens)
			l.mu.Lock()
			l.opens[a.ID] = opened{opens, first / 2}
			l.list = append(l.list, a)
			l.mu.Unlock()
		})
	}
}

// jointOpening draws how a request of a region begins: half of a's begin with what is hot there, a quarter of b's with the
// same; half of b's and c's with what all have in common; the rest with what comes once.
func jointOpening(rng *rand.Rand, region, n int) string {
	shared, own := rng.IntN(4), rng.IntN(hots)
	switch {
	case region == 0 && shared < 2, region == 1 && shared == 0:
		return hot(0, own)
	case region == 0 && shared == 2, region > 0 && shared < 3 && shared > 0:
		return common(own % commons)
	}
	return fmt.Sprint("once-", n)
}

// patience is how long a filing is asked again until its client gives up, which is a fault.
const patience = 30 * time.Second

// ask is one request to its end.
func (l *jointLoad) ask(ctx context.Context, a *Asked, first, session int, opens string) {
	raw, _ := opening(opens)
	body := fmt.Sprintf(`{"model":%q,"messages":[%s,{"content":%q}]}`, a.Class, raw, a.ID)
	for try := 0; ; try++ {
		l.mu.Lock()
		l.tries[a.ID]++
		l.mu.Unlock()
		a.Sent = l.now()
		status, wait := l.once(ctx, a, (first+try)%len(l.f.Daemons), session, body) // who comes again tries the next router
		a.Took = l.now() - a.Sent
		a.Status = status
		final := status != 0 && status != http.StatusServiceUnavailable
		switch {
		case final:
			return
		case a.Class == "query" && try >= 2, a.Class == "filing" && l.now()-a.At > patience:
			return
		}
		if status == http.StatusServiceUnavailable {
			a.Refused++
		}
		time.Sleep(wait)
	}
}

// once asks one router after the other until one takes the connection: its site's own, then others'; first those that are
// well. 0: no answer.
func (l *jointLoad) once(ctx context.Context, a *Asked, first, session int, body string) (status int, again time.Duration) {
	var well, sick []*Daemon
	l.mu.Lock()
	for i := range l.f.Daemons {
		d := l.f.Daemons[(first^i)%len(l.f.Daemons)]
		if i > 1 {
			d = l.f.Daemons[(first+i)%len(l.f.Daemons)]
		}
		if l.sick[d.Name] {
			sick = append(sick, d)
		} else {
			well = append(well, d)
		}
	}
	l.mu.Unlock()
	for _, d := range append(well, sick...) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Listen+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			return 0, 0
		}
		req.Header.Set("X-Session-Id", strconv.Itoa(session))
		if a.Class == "filing" {
			req.Header.Set("Idempotency-Key", a.ID)
		}
		resp, err := l.client.Do(req)
		if errors.Is(err, syscall.ECONNREFUSED) {
			continue
		}
		if err == nil {
			var answer []byte
			answer, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			l.mu.Lock()
			l.kept[a.ID] = err == nil && resp.StatusCode == http.StatusOK && !bytes.Contains(answer, []byte(`"cached_tokens":0}`))
			l.mu.Unlock()
		}
		if err != nil {
			l.mu.Lock()
			l.cut = append(l.cut, cut{d.Name, a.ID, l.now(), err.Error(), l.off[d.Name]})
			l.mu.Unlock()
			return 0, 50 * time.Millisecond
		}
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil {
			wait = 0.1
		}
		return resp.StatusCode, time.Duration(min(wait, 2) * float64(time.Second))
	}
	return 0, 100 * time.Millisecond
}

// judge says what came of the day's requests: each has one final answer, no filing ran twice, and no router that had the
// time to answer left a client without one.
func (d *jointDay) judge(rep *JointReport, end time.Duration) {
	l := d.load
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := func(format string, args ...any) {
		rep.Wrong = append(rep.Wrong, fmt.Sprintf(format, args...))
	}
	ran, falls, err := d.Ran()
	if err != nil {
		fault("%v", err)
	}
	rep.Falls = falls
	for i, m := range d.phases {
		to := end
		if i+1 < len(d.phases) {
			to = d.phases[i+1].at
		}
		p := JointPhase{Name: m.name, Took: (to - m.at).Seconds(), Shares: Shares(l.list, m.at, to)}
		p.Served, p.Asked = Worth(p.Shares), 3*float64(p.Shares["query"].Asked)+2*float64(p.Shares["filing"].Asked)
		rep.Served, rep.Asked = rep.Served+p.Served, rep.Asked+p.Asked
		rep.Phases = append(rep.Phases, p)
	}
	var answered, read, hots, hotsRead float64
	for _, a := range l.list {
		rep.Requests++
		if a.Status == http.StatusOK {
			answered++
			isHot := strings.HasPrefix(l.opens[a.ID].with, "hot-") && l.opens[a.ID].region == 1
			if isHot {
				hots++
			}
			if !l.kept[a.ID] {
				read++
				if isHot {
					hotsRead++
				}
			}
		}
		rep.Again += l.tries[a.ID] - 1
		switch {
		case a.Status == http.StatusFailedDependency:
			rep.Unknown++
		case a.Status == http.StatusServiceUnavailable, a.Status == 0:
			if a.Class == "filing" {
				fault("filing %s, asked at %v, has no final answer after %d tries", a.ID, a.At, l.tries[a.ID])
			}
		case a.Status != http.StatusOK:
			rep.Bad++
		}
		if n := ran[a.ID]; a.Class == "filing" && n > 1 {
			fault("filing %s ran %d times", a.ID, n)
		} else if a.Class == "filing" && a.Status == http.StatusOK && n == 0 {
			fault("filing %s was answered, and ran nowhere", a.ID)
		} else if a.Class == "query" && n > 3*l.tries[a.ID] { // max_attempts
			fault("query %s ran %d times over %d tries", a.ID, n, l.tries[a.ID])
		}
	}
	rep.Read, rep.ReadB = read/max(answered, 1), hotsRead/max(hots, 1)
	for _, c := range l.cut {
		if rep.Cut++; !c.excused {
			fault("%s left %s without an answer at %.1f s: %s", c.router, c.id, c.at.Seconds(), c.why)
		}
	}
}
