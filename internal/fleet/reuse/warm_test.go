package reuse

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sumacloft/internal/decide/reuse"
	"sumacloft/internal/etcd/etcdtest"
	"sumacloft/internal/standin"
)

// An opening that sessions share in region a is read to a server of b by a router of a, the only one that has its bytes, and not
// before that server has little to do; the opening of one session is read nowhere. What answers say ends a copy.
func TestWarmedOverTheStore(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	m := reuse.Model{ReportMs: 50, LeaseMs: 20_000, Regions: []reuse.Region{{Name: "a", Memory: 100_000}, {Name: "b", Memory: 100_000}},
		Links: []reuse.Link{{From: "a", To: "b", Rate: 50_000, Price: 0.1}, {From: "b", To: "a", Rate: 50_000, Price: 0.1}}}
	servers := []reuse.Server{{ID: "a-s", Region: "a", Boot: "1"}, {ID: "b-s", Region: "b", Boot: "1"}}
	var mu sync.Mutex
	read := map[string]int{} // by router, server and opening
	var busy atomic.Int64
	busy.Store(5)
	agents := map[string]*Agent{}
	for _, name := range []string{"a1", "a2", "b1"} {
		known := NewOpenings()
		a, err := Open(Options{Name: name, Region: name[:1], Endpoints: []string{endpoint}, Openings: known, Servers: func() []reuse.Server { return servers },
			Busy: func() map[string]int {
				if name == "b1" {
					return map[string]int{"b-s": int(busy.Load())}
				}
				return nil
			},
			Copier: &Warmer{Openings: known, Read: func(_ context.Context, server string, o Opening) error {
				mu.Lock()
				defer mu.Unlock()
				read[fmt.Sprint(name, " ", server, " ", string(o.First))]++
				return nil
			}}, Log: standin.Log()})
		if err != nil {
			t.Fatal(err)
		}
		if err := a.Took(m, 1); err != nil {
			t.Fatal(err)
		}
		ctx, end := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); a.Run(ctx) }()
		t.Cleanup(func() { end(); <-ended; _ = a.Close() })
		agents[name] = a
	}
	ctx, end := context.WithCancel(t.Context())
	var ask sync.WaitGroup
	ask.Add(1)
	go func() { // "shared" is asked at a2 alone, ten times a second, and "lone" by one session
		defer ask.Done()
		for i := uint64(0); ctx.Err() == nil; i++ {
			agents["a2"].Served(Served{Prefix: 7, Tokens: 1000, Session: i, Model: "m", First: []byte("shared"), Server: "a-s"})
			agents["a2"].Served(Served{Prefix: 8, Tokens: 1000, Session: 1, Model: "m", First: []byte("lone"), Server: "a-s"})
			for _, name := range []string{"a1", "a2", "b1"} {
				for j := range uint64(3) {
					k := 1_000_000 + 1000*i + 10*j + uint64(len(name)+int(name[1]))
					agents[name].Served(Served{Prefix: reuse.Key(k), Tokens: 700, Session: k, First: []byte("own"), Server: agents[name].o.Region + "-s"})
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	t.Cleanup(func() { end(); ask.Wait() })
	ordered := func() bool {
		all, err := Records(agents["a1"].client).ReadAll(ctx, false)
		return err == nil && all.State != nil && len(all.State.Copies) > 0
	}
	standin.Eventually(t, 15*time.Second, "it is ordered", ordered)
	time.Sleep(500 * time.Millisecond) // ten reports: time enough to read it
	mu.Lock()
	if len(read) > 0 {
		t.Errorf("a busy server was read to: %v", read)
	}
	mu.Unlock()
	busy.Store(0)
	standin.Eventually(t, 15*time.Second, "routers of b know of it", func() bool { return fmt.Sprint(agents["b1"].Near(7)) == "[b-s]" })
	if r, err := agents["a1"].client.Range(ctx, Agreed()); err != nil || Held(r)["b-s"] != 1000 {
		t.Errorf("servers hold %v, %v", Held(r), err)
	}
	if far := agents["a1"].Near(7); len(far) > 0 {
		t.Errorf("routers of a are sent to %v", far)
	}
	mu.Lock()
	if len(read) != 1 || read["a2 b-s shared"] < 1 {
		t.Errorf("what was read: %v", read)
	}
	mu.Unlock()
	if err := errors.Join(agents["b1"].Took(reuse.Model{}, 1), agents["b1"].Took(m, 1)); err != nil || len(agents["b1"].Near(7)) > 0 {
		t.Errorf("turned off it still knows of a home: %v", err)
	}
	standin.Eventually(t, 5*time.Second, "turned on again it knows of it", func() bool { return len(agents["b1"].Near(7)) == 1 })
	agents["b1"].Served(Served{Prefix: 7, Tokens: 1000, Session: 9, Server: "b-s", Answer: []byte(`{"usage":{"prompt_tokens_details":{"cached_tokens":900}}}`)})
	if len(agents["b1"].Near(7)) != 1 {
		t.Error("a copy that was found is not believed in")
	}
	agents["b1"].Served(Served{Prefix: 7, Tokens: 1000, Session: 9, Server: "b-s", Answer: []byte(`{"usage":{"prompt_tokens_details":{"cached_tokens":0}}}`)})
	standin.Eventually(t, 5*time.Second, "what an answer says is lost is not believed in", func() bool { return len(agents["b1"].Near(7)) == 0 })
	if err := agents["a2"].Took(reuse.Model{}, 1); err != nil || agents["a2"].o.Openings.known.Len() > 0 {
		t.Errorf("without a table openings are kept: %v", err)
	}
}

// A router that follows an older policy than the last state was decided under writes nothing; one that has it does.
func TestOlderPolicyDecidesNothing(t *testing.T) {
	f := start(t, "")
	records := Records(f.agents[0].client)
	standin.Eventually(t, 15*time.Second, "all know the further home", f.everywhere("b-s"))
	all, err := records.ReadAll(t.Context(), false)
	if err != nil {
		t.Fatal(err)
	}
	newer := *all.State
	newer.Seq, newer.Version, newer.Copies = newer.Seq+1, 2, nil
	rev, err := records.ReplaceState(t.Context(), all.StateRev, &newer, nil)
	for err != nil { // a decider was quicker
		if all, err = records.ReadAll(t.Context(), false); err == nil {
			newer.Seq = all.State.Seq + 1
			rev, err = records.ReplaceState(t.Context(), all.StateRev, &newer, nil)
		}
	}
	time.Sleep(time.Second) // twenty reports in which the opening is used
	if all, err = records.ReadAll(t.Context(), false); err != nil || all.StateRev != rev {
		t.Fatalf("it was written over, %v", err)
	}
	if err := f.agents[1].Took(f.agents[1].terms(), 2); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, 15*time.Second, "the router that has the policy decides", func() bool {
		all, err := records.ReadAll(t.Context(), false)
		return err == nil && all.StateRev > rev && all.State.By == f.agents[1].o.Name && all.State.Version == 2
	})
}
