package lab

import (
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

// Asked is one client's request, at its end.
type Asked struct {
	ID      string
	Class   string
	At      time.Duration // when it was asked first
	Sent    time.Duration // when it was asked last
	Took    time.Duration // of the last time
	Status  int           // 0: no answer
	Refused int           // how often it was refused
	Times   int           // how often it was asked
}

// InTime tells whether it was answered within its class's aim.
func (a Asked) InTime() bool {
	aim := time.Second
	if a.Class == "filing" {
		aim = 1500 * time.Millisecond
	}
	return a.Status == http.StatusOK && a.Took <= aim
}

// Phase is a time in which so much comes, and what is done at its beginning.
type Phase struct {
	Name  string
	For   time.Duration
	Rate  float64 // requests a second, over all sites
	Begin func() error
}

// Load has clients ask through phases and gives what became of each request. Three of five are queries. A client of a
// site asks its routers, and others' where none answers; refused, it comes again when it was told to, once.
func (f *SiteFleet) Load(ctx context.Context, seed uint64, phases []Phase) ([]Asked, error) {
	rng := rand.New(rand.NewPCG(seed, 17))
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var out []Asked
	var all sync.WaitGroup
	zero, at, n := time.Now(), time.Duration(0), 0
	for _, p := range phases {
		if p.Begin != nil {
			if err := p.Begin(); err != nil {
				return nil, err
			}
		}
		for end := at + p.For; at < end && ctx.Err() == nil; {
			at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
			time.Sleep(time.Until(zero.Add(at)))
			n++
			a := Asked{ID: "r" + strconv.Itoa(n), Class: "query", At: at}
			if rng.IntN(5) >= 3 {
				a.Class = "filing"
			}
			first, session := rng.IntN(len(f.Daemons)), rng.IntN(400)
			all.Add(1)
			go func() {
				defer all.Done()
				f.ask(ctx, client, &a, zero, first, session)
				mu.Lock()
				out = append(out, a)
				mu.Unlock()
			}()
		}
	}
	all.Wait()
	return out, ctx.Err()
}

// ask is one client's request to its end.
func (f *SiteFleet) ask(ctx context.Context, client *http.Client, a *Asked, zero time.Time, first, session int) {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"content":"session %d"},{"content":%q}]}`, a.Class, session, a.ID)
	for again := 0; again < 2; again++ {
		a.Sent, a.Times = time.Since(zero), a.Times+1
		resp := f.reach(ctx, client, first, session, body)
		a.Took = time.Since(zero) - a.Sent
		if resp == nil {
			return // it may have run: a client that is told nothing does not know
		}
		_, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if a.Took = time.Since(zero) - a.Sent; err != nil {
			return
		}
		if a.Status = resp.StatusCode; a.Status != http.StatusServiceUnavailable {
			return
		}
		a.Refused++
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil || again == 1 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(wait * float64(time.Second))):
		}
	}
}

// reach asks one router after the other until one takes the connection: its site's own, then others'.
func (f *SiteFleet) reach(ctx context.Context, client *http.Client, first, session int, body string) *http.Response {
	for i := range f.Daemons {
		d := f.Daemons[(first^i)%len(f.Daemons)]
		if i > 1 {
			d = f.Daemons[(first+i)%len(f.Daemons)]
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Listen+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			return nil
		}
		req.Header.Set("X-Session-Id", strconv.Itoa(session))
		resp, err := client.Do(req)
		if err == nil {
			return resp
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
	}
	return nil
}

// Share is what became of a class in a time.
type Share struct {
	Class             string
	Asked             int
	InTime, Late      int
	Refused, Failed   int // in the end
	RefusedOnce       int // of Asked
	Served            float64
	RefusedPart       float64
	RefusedAtOncePart float64
}

// Shares tells what became of the requests that were first asked in a time.
func Shares(list []Asked, from, to time.Duration) map[string]Share {
	out := map[string]Share{"query": {Class: "query"}, "filing": {Class: "filing"}}
	for _, a := range list {
		if a.At < from || a.At >= to {
			continue
		}
		s := out[a.Class]
		s.Asked++
		switch {
		case a.InTime():
			s.InTime++
		case a.Status == http.StatusOK:
			s.Late++
		case a.Status == http.StatusServiceUnavailable:
			s.Refused++
		default:
			s.Failed++
		}
		if a.Refused > 0 {
			s.RefusedOnce++
		}
		n := float64(s.Asked)
		s.Served, s.RefusedPart, s.RefusedAtOncePart = float64(s.InTime)/n, float64(s.Refused)/n, float64(s.RefusedOnce)/n
		out[a.Class] = s
	}
	return out
}

// Worth is what was served in time, in worth.
func Worth(s map[string]Share) float64 {
	return 3*float64(s["query"].InTime) + 2*float64(s["filing"].InTime)
}
