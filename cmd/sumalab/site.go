package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"sumacloft/internal/emu"
	"sumacloft/internal/lab"
)

type serverLine struct {
	Listen string `help:"Where it serves." required:""`
	Log    string `help:"The file to which it writes what it begins to run." required:""`
	Cold   bool   `help:"It has just started; otherwise it is warm."`

	Warm time.Duration `help:"How long it takes from its start to its whole speed." default:"6s"`
	Mark string        `help:"The version of the weights, as answers name it."`
	Slow float64       `help:"How many times slower than the others it is." default:"1"`
	Fail float64       `help:"The part of the requests that it fails, for a bad version."`
	Sick string        `help:"A file: while it is there requests fail by the part that it names, whatever the version."`
	Keys int           `help:"How many openings it remembers." default:"1000"`
	Hit  float64       `help:"The part of a request's work that remembering its opening saves."`
}

// emulated are the settings of the emulated servers: 40 answers a second each.
var emulated = emu.Settings{Slots: 8, Service: 200 * time.Millisecond, Queue: 60, Keys: 1000, Hit: 0, Warm: 6 * time.Second, Cold: 0.3,
	Over: 2.5, OverFor: 1500 * time.Millisecond, Away: 3 * time.Second}

// sickLook is how often a server looks whether it is to fail.
const sickLook = 50 * time.Millisecond

// endsWithin is how long a server that is ended may take over what it has.
const endsWithin = 3 * time.Second

// Run serves until it is ended.
func (l *serverLine) Run(ctx context.Context) error {
	f, err := os.OpenFile(l.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	write := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = f.WriteString(line + "\n") // a missing line shows as a request that did not run
	}
	set := emulated
	set.Warm, set.Keys, set.Hit, set.Service = l.Warm, l.Keys, l.Hit, time.Duration(l.Slow*float64(set.Service))
	h := emu.NewHandler(set, !l.Cold, write)
	h.Mark = l.Mark
	var sick atomic.Value
	sick.Store(0.0)
	if l.Sick != "" {
		go func() {
			for ctx.Err() == nil {
				part := 0.0
				if data, err := os.ReadFile(l.Sick); err == nil {
					_, _ = fmt.Sscan(string(data), &part) // one that is just being written is read again
				}
				sick.Store(part)
				time.Sleep(sickLook)
			}
		}()
	}
	falls := 0
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		defer func() {
			if n := h.Falls(); n > falls {
				falls = n
				write(lab.Fell)
			}
		}()
		if part := l.Fail + sick.Load().(float64); part > 0 && req.URL.Path != "/health" && rand.Float64() < part {
			http.Error(w, "a fault of this version", http.StatusInternalServerError)
			return
		}
		h.ServeHTTP(w, req)
	})}
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return errors.Join(err, f.Close())
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-ctx.Done()
		finish, done := context.WithTimeout(context.Background(), endsWithin)
		defer done()
		_ = server.Shutdown(finish) // what has not ended by then is cut
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ended
	return f.Close()
}

type siteLine struct {
	Seed     uint64  `help:"Of the clients." default:"1"`
	Files    bool    `help:"Keep the fleet's files and logs."`
	NoPlan   bool    `help:"Without [sites]: each router finds out by itself."`
	Declared float64 `help:"What the plan says that a site carries; its servers carry 80." default:"80"`
	common
}

// Run loses a site and has it return.
func (l *siteLine) Run(ctx context.Context, out io.Writer) error {
	dir, done, err := tempDir()
	if err != nil {
		return err
	}
	if l.Files {
		fmt.Fprintln(os.Stderr, "files and logs:", dir)
	} else {
		defer done()
	}
	plan := lab.SitePlan(l.Declared)
	if l.NoPlan {
		plan = ""
	}
	day, err := lab.LoseASite(ctx, lab.Options{Dir: dir, Bin: l.Bin, Seed: l.Seed}, plan, printProgress)
	if err != nil {
		return err
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"phase", "asked/s", "worth/s in time", "of at best", "queries in time", "refused once", "refused", "failed", "filings in time", "refused once", "refused", "failed"})
	for _, p := range day.Phases {
		q, f := p.Shares["query"], p.Shares["filing"]
		t.AppendRow(table.Row{p.Name, fmt.Sprintf("%.0f", p.Rate), fmt.Sprintf("%.0f", p.Worth), fmt.Sprintf("%.2f", p.Worth/p.Best),
			fmt.Sprintf("%.3f", q.Served), fmt.Sprintf("%.3f", q.RefusedAtOncePart), fmt.Sprintf("%.3f", q.RefusedPart), q.Failed,
			fmt.Sprintf("%.3f", f.Served), fmt.Sprintf("%.3f", f.RefusedAtOncePart), fmt.Sprintf("%.3f", f.RefusedPart), f.Failed})
	}
	return l.show(out, day, t.Render()+fmt.Sprintf("\nback at 95%% of what the rest carries %.1f s after the loss; filings run twice: %d; servers pushed over: %d; requests without an answer: %d\n", day.BackS, day.Twice, day.Falls, day.Silent))
}
