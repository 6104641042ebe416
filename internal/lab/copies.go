package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/config"
	"sumacloft/internal/decide/reuse"
	"sumacloft/internal/discovery"
	"sumacloft/internal/etcd"
	fleetreuse "sumacloft/internal/fleet/reuse"
)

// CopiesPlan is the laboratory's table of copies: each region's three servers keep 180 openings of 500 tokens together.
var CopiesPlan = copiesPlan(siteNames...)

func copiesPlan(regions ...string) string {
	var b strings.Builder
	b.WriteString(`[reuse]
lease_ms = 10000
share = 0.25
orders = 8
read_tokens = 0 # emulated servers read what comes, and nothing else
warm_below = 3
report_ms = 200
`)
	for _, name := range regions {
		_, _ = fmt.Fprintf(&b, "[[reuse.region]]\nname = %q\nmemory = 90000\n", name) // never fails
	}
	for _, from := range regions {
		for _, to := range regions {
			if from != to {
				b.WriteString(copyLink(from, to))
			}
		}
	}
	return b.String()
}

func copyLink(from, to string) string {
	return fmt.Sprintf("[[reuse.link]]\nfrom = %q\nto = %q\nrate = 50000\nprice = 0.1\n", from, to)
}

// emptying is how long a server that is to be let out waits for copies at most, where it does.
const emptying = 15 * time.Second

// copySites is the plan of sites for schedules that lose one.
const copySites = `[sites]
lost_after_ms = 1000
warm_ms = 1000
[[sites.site]]
name = "a"
capacity = 120
[[sites.site]]
name = "b"
capacity = 120
[[sites.site]]
name = "c"
capacity = 120
[[sites.class]]
name = "query"
[[sites.class]]
name = "filing"
`

// hots and commons are how many openings are hot in region a, and used everywhere.
const hots, commons = 12, 8

// CopiesFleet is a fleet of three regions, six routers, five members of the store and nine servers, whose clients share
// openings.
type CopiesFleet struct {
	*OutageFleet
	model      reuse.Model
	generation atomic.Int64 // of what is hot in region a
	flash      atomic.Bool  // what is hot in a is asked in b too
	scan       atomic.Bool  // many sessions come with openings of their own in c
	shared     []string     // what others begin with whose openings may be copied too
	jam        atomic.Bool  // and more in b than its servers can take

	mu    sync.Mutex
	asked []CopyAsked
	zero  time.Time     // of the clients' clock
	steps time.Duration // when the schedule's last step was made
}

// CopyAsked is one client's request, at its end.
type CopyAsked struct {
	ID, Class, Region, Opening string
	At, Took                   time.Duration
	Status                     int
	Kept                       bool // the server had kept the opening
}

// OpenCopies makes the fleet and has it run; without copies it has no table for them. Where servers are to be emptied, they wait for copies
// of what they hold before they are let out.
func OpenCopies(ctx context.Context, o Options, copies, sited, emptied bool) (*CopiesFleet, error) {
	plan := OutagePlan
	if copies {
		plan += CopiesPlan
	}
	if sited {
		plan += copySites
	}
	if emptied {
		plan = strings.Replace(plan, "[outage]\n", fmt.Sprintf("[outage]\ncopy_wait_ms = %d\n", emptying.Milliseconds()), 1)
		for _, r := range siteNames {
			plan += copyLink(r, r)
		}
	}
	o.Emulated, o.Watched = []string{"--hit", "0.6", "--keys", "60"}, true
	f := &CopiesFleet{}
	var err error
	if f.OutageFleet, err = OpenOutages(o, plan); err != nil {
		return nil, err
	}
	if f.model, err = config.ReuseOf(siteChat + CopiesPlan); err == nil {
		f.model = f.model.WithDefaults()
		err = f.Up(ctx)
	}
	if err == nil {
		err = f.list(ctx)
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// siteChat are the classes as a policy has them.
const siteChat = "[chat]\n" + SiteClasses

// list writes the servers for the daemons that hold no member of the store, which write none.
func (f *CopiesFleet) list(ctx context.Context) error {
	ctx, done := context.WithTimeout(ctx, within)
	defer done()
	txn := &pb.TxnRequest{}
	for i, d := range f.Daemons {
		for j := 0; j < f.o.Servers && !f.o.member(i); j++ {
			value, err := json.Marshal(discovery.Member{ID: serverName(j), HostPort: f.back[[2]string{d.Name, serverName(j)}].Addr(), Locality: f.o.site(j, f.o.Servers), Flavor: "chat", Phase: "SERVING"})
			if err != nil {
				return err
			}
			txn.Success = append(txn.Success, etcd.Put(memberKey(d, serverName(j)), value, 0))
		}
	}
	return answered(ctx, func() error { _, err := f.kv.Txn(ctx, txn); return err })
}

// opening is a first message of 500 tokens, and the number that routers know it by.
func opening(name string) (raw string, key reuse.Key) {
	raw = fmt.Sprintf(`{"role":"system","content":%q}`, openingText(name))
	h := fnv.New64a()
	_, _ = h.Write([]byte(raw)) // never fails
	return raw, reuse.Key(h.Sum64())
}

func openingText(name string) string {
	return name + strings.Repeat(".", 1970-len(name))
}

func hot(generation int64, i int) string { return fmt.Sprintf("hot-%d-%d", generation, i) }
func common(i int) string                { return fmt.Sprintf("common-%d", i) }

// Ask has clients ask until ctx ends, some times a second in each region; what is asked follows from the seed, but for what is
// hot just then.
func (f *CopiesFleet) Ask(ctx context.Context, seed uint64) {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	zero := time.Now()
	f.mu.Lock()
	f.zero = zero
	f.mu.Unlock()
	var n atomic.Int64
	var all sync.WaitGroup
	defer all.Wait()
	stream := func(region int, rate float64, on *atomic.Bool, draw func(rng *rand.Rand, n int64) (opening string, session int)) {
		all.Add(1)
		rng := rand.New(rand.NewPCG(seed, uint64(n.Add(1))))
		go func() {
			defer all.Done()
			for at := time.Duration(0); ctx.Err() == nil; {
				at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Until(zero.Add(at))):
				}
				a := CopyAsked{Class: "query", Region: siteNames[region], At: time.Since(zero)}
				if rng.IntN(5) >= 3 {
					a.Class = "filing"
				}
				first, id := 2*region+rng.IntN(2), n.Add(1)
				name, session := draw(rng, id)
				if on != nil && !on.Load() {
					continue
				}
				a.ID, a.Opening = fmt.Sprint("r", id), name
				all.Add(1)
				go func() {
					defer all.Done()
					f.one(client, &a, zero, first, session)
					f.mu.Lock()
					f.asked = append(f.asked, a)
					f.mu.Unlock()
				}()
			}
		}()
	}
	for region := range siteNames {
		stream(region, 4, nil, func(rng *rand.Rand, n int64) (string, int) { return common(rng.IntN(commons)), int(n) })
		stream(region, 4, nil, func(_ *rand.Rand, n int64) (string, int) { return fmt.Sprint("once-", n), int(n) })
	}
	hotOne := func(rng *rand.Rand, n int64) (string, int) { return hot(f.generation.Load(), rng.IntN(hots)), int(n) }
	stream(0, 14, nil, hotOne)
	stream(1, 6, &f.flash, hotOne)
	stream(2, 25, &f.scan, func(_ *rand.Rand, n int64) (string, int) { return fmt.Sprint("scan-", n), int(n) })
	stream(1, 220, &f.jam, func(_ *rand.Rand, n int64) (string, int) { return fmt.Sprint("jam-", n), int(n) })
	stream(2, 2, nil, func(*rand.Rand, int64) (string, int) { return "lone", 1 }) // of one session alone
}

// one is one client's request to its end.
func (f *CopiesFleet) one(client *http.Client, a *CopyAsked, zero time.Time, first, session int) {
	raw, _ := opening(a.Opening)
	resp := f.reach(context.Background(), client, first, session, fmt.Sprintf(`{"model":%q,"messages":[%s,{"content":%q}]}`, a.Class, raw, a.ID))
	a.Took = time.Since(zero) - a.At
	if resp == nil {
		return
	}
	defer resp.Body.Close()
	var body struct {
		Usage struct {
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		}
	}
	err := json.NewDecoder(resp.Body).Decode(&body)
	a.Took = time.Since(zero) - a.At
	if err == nil {
		a.Status, a.Kept = resp.StatusCode, body.Usage.Details.Cached > 0
	}
}

// Copies reads what is agreed on; nil: nothing is, or nobody answers.
func (f *CopiesFleet) Copies(ctx context.Context) *reuse.State {
	ctx, done := context.WithTimeout(ctx, time.Second)
	defer done()
	r, err := f.kv.Range(ctx, &pb.RangeRequest{Key: []byte(fleetreuse.Records(f.kv).StateKey())})
	if err != nil || len(r.Kvs) == 0 {
		return nil
	}
	s, err := reuse.Decode(r.Kvs[0].Value)
	if err != nil {
		f.fault("the state can't be read: %v", err)
		return nil
	}
	return s
}

// AuditCopies reads the state's whole history out of the store and has every revision looked at.
func (f *CopiesFleet) AuditCopies(ctx context.Context) (*reuse.Auditor, error) {
	ctx, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	allowed := map[reuse.Key]bool{}
	for i := range commons {
		_, k := opening(common(i))
		allowed[k] = true
	}
	for g := range f.generation.Load() + 1 {
		for i := range hots {
			_, k := opening(hot(g, i))
			allowed[k] = true
		}
	}
	for _, content := range f.shared {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, `{"content":%q}`, content) // never fails
		allowed[reuse.Key(h.Sum64())] = true
	}
	a := &reuse.Auditor{Model: f.model, Regions: map[string]string{}, Forbidden: func(k reuse.Key) bool { return !allowed[k] }}
	for i := range f.o.Servers {
		a.Regions[serverName(i)] = f.o.site(i, f.o.Servers)
	}
	return a, history(ctx, f.kv, fleetreuse.Records(f.kv).StateKey(), func(value []byte) error {
		s, err := reuse.Decode(value)
		if err == nil {
			a.Observe(s)
		}
		return err
	})
}

// history gives every value that a key ever had, in order.
func history(ctx context.Context, kv *etcd.Client, key string, take func(value []byte) error) error {
	last, err := kv.Range(ctx, &pb.RangeRequest{Key: []byte(key)})
	for ; err != nil && ctx.Err() == nil; last, err = kv.Range(ctx, &pb.RangeRequest{Key: []byte(key)}) {
		time.Sleep(pause) // a leader may have to be found yet
	}
	if err != nil || len(last.Kvs) == 0 {
		return errors.Join(err, fmt.Errorf("%s was never written", key))
	}
	w, err := pb.NewWatchClient(kv.Conn(0)).Watch(ctx)
	if err != nil {
		return err
	}
	if err := w.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{CreateRequest: &pb.WatchCreateRequest{Key: []byte(key), StartRevision: 1}}}); err != nil {
		return err
	}
	for {
		r, err := w.Recv()
		if err != nil {
			return err
		}
		if r.CompactRevision > 0 {
			return fmt.Errorf("the history before revision %d is gone", r.CompactRevision)
		}
		for _, ev := range r.Events {
			if err := take(ev.Kv.Value); err != nil {
				return err
			}
			if ev.Kv.ModRevision >= last.Kvs[0].ModRevision {
				return nil
			}
		}
	}
}
