package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sumacloft/internal/fleet/work"
)

// WorkMeasure is what writing work down costs. Times are in milliseconds.
type WorkMeasure struct {
	How       string  `json:"how"`
	AtOnce    int     `json:"at_once"`
	Run       int     `json:"run"`
	PerSecond float64 `json:"filings_per_s"`
	P50       float64 `json:"ms_p50"`
	P99       float64 `json:"ms_p99"`
}

// ways are what is compared: as before there was a ledger, one entry of the log for each record, group commit.
var ways = []struct {
	how, classes, file string
}{
	{"no handover", strings.ReplaceAll(WorkClasses, "handover = true\n", ""), ""},
	{"one entry each", WorkClasses, "[work]\nbatch = 1\nmax_open = 5000\n"},
	{"group commit", WorkClasses, "[work]\nbatch = 256\nmax_open = 5000\n"},
}

// instant answers at once.
func instant(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/health" {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(w, `{"object":"chat.completion","choices":[]}`)
	}
}

// MeasureWork measures filings a second over five daemons, several runs each, with clients spread over all.
func MeasureWork(ctx context.Context, o Options, runs int, span time.Duration, said func(string)) (out []WorkMeasure, err error) {
	o.Daemons, o.Servers, o.OnLapse, o.Answers, o.Calm = 5, 3, "refuse", http.HandlerFunc(instant), true
	for _, way := range ways {
		dir := o.Dir
		o.Classes, o.File, o.Dir = way.classes, way.file, dir+"/"+strings.ReplaceAll(way.how, " ", "-")
		measured, err := measureWay(ctx, o, way.how, runs, span, said)
		o.Dir = dir
		if out = append(out, measured...); err != nil {
			return out, fmt.Errorf("%s: %w", way.how, err)
		}
	}
	return out, nil
}

func measureWay(ctx context.Context, o Options, how string, runs int, span time.Duration, said func(string)) (out []WorkMeasure, err error) {
	if err := makeDir(o.Dir); err != nil {
		return nil, err
	}
	f, err := Open(o)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Up(ctx); err != nil {
		return nil, err
	}
	for _, atOnce := range []int{1, 16, 256} {
		for n := range runs {
			m := WorkMeasure{How: how, AtOnce: atOnce, Run: n + 1}
			h, took, failed := file(ctx, f, atOnce, span, fmt.Sprintf("%d-%d", atOnce, n))
			if failed > 0 {
				return out, fmt.Errorf("%d filings at %d at once were not served", failed, atOnce)
			}
			m.PerSecond = float64(h.TotalCount()) / took.Seconds()
			m.P50, m.P99 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
			out = append(out, m)
			said(fmt.Sprintf("%s, %d at once, run %d: %.0f filings/s, p50 %.1f ms, p99 %.1f ms", how, atOnce, n+1, m.PerSecond, m.P50, m.P99))
		}
	}
	return out, nil
}

// file has so many clients file for a while. A refusal, which an overload brings, is asked again and counts as the time
// that it takes.
func file(ctx context.Context, f *Fleet, atOnce int, span time.Duration, name string) (*hdrhistogram.Histogram, time.Duration, int) {
	h, failed := newHistogram(), 0
	var mu sync.Mutex
	var all sync.WaitGroup
	began := time.Now()
	for i := range atOnce {
		all.Add(1)
		go func() {
			defer all.Done()
			d := f.Daemons[i%len(f.Daemons)]
			client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for n := 0; time.Since(began) < span && ctx.Err() == nil; n++ {
				asked := time.Now()
				ok := fileOnce(client, d, fmt.Sprintf("%s-%d-%d", name, i, n))
				mu.Lock()
				if !ok {
					failed++
				}
				_ = h.RecordValue(time.Since(asked).Microseconds()) // within its range: a client waits no minute
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	return h, time.Since(began), failed
}

func fileOnce(client *http.Client, d *Daemon, id string) bool {
	for range 20 {
		req, err := http.NewRequest(http.MethodPost, "http://"+d.Listen+"/v1/chat/completions", strings.NewReader(`{"model":"filing","messages":[{"role":"user","content":"`+id+`"}]}`))
		if err != nil {
			return false
		}
		req.Header.Set("Idempotency-Key", id)
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
		if resp.StatusCode != http.StatusServiceUnavailable {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// Settling is how long it takes from a kill until the last of a dead router's records is settled.
type Settling struct {
	InHand  int     `json:"in_hand"`
	LeaseS  int     `json:"lease_s"`
	Seconds float64 `json:"seconds"`
}

// MeasureSettling kills a router that has so many filings at servers which never answer.
func MeasureSettling(ctx context.Context, o Options, inHand int) (Settling, error) {
	o.Daemons, o.Servers, o.OnLapse, o.Calm = 5, 3, "refuse", true
	o.Classes = strings.ReplaceAll(WorkClasses, "8000", "60000")
	o.File = "[work]\nmax_open = 5000\n"
	out := Settling{LeaseS: o.LeaseS}
	f, err := Open(o)
	if err != nil {
		return out, err
	}
	defer f.Close()
	if err := f.Up(ctx); err != nil {
		return out, err
	}
	at := f.Daemons[0]
	for i := range o.Servers {
		f.back[[2]string{at.Name, serverName(i)}].Set(Mode{Kind: Silent}, Mode{Kind: Silent})
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for i := range inHand {
		go func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := 0; n < 50 && ctx.Err() == nil && !fileOnce(client, at, fmt.Sprint("s-", i)); n++ {
			}
		}()
	}
	other := f.Daemons[1]
	count := func() int {
		ask := work.List(true, false)
		ask.CountOnly = true
		r, err := other.Ask(ctx, ask)
		if err != nil {
			return -1
		}
		return int(r.Count)
	}
	until(ctx, 20*time.Second, func() bool { out.InHand = max(out.InHand, count()); return out.InHand >= inHand*9/10 })
	time.Sleep(500 * time.Millisecond) // what is still on its way
	out.InHand = count()
	at.Kill()
	began := time.Now()
	if !until(ctx, 120*time.Second, func() bool { return count() == 0 }) {
		return out, fmt.Errorf("%d of %d records are not settled after %v", count(), out.InHand, time.Since(began))
	}
	out.Seconds = time.Since(began).Seconds()
	return out, nil
}
