package lab

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"sumacloft/internal/decide/sites"
	"sumacloft/internal/emu"
	"sumacloft/internal/fleet/siting"
)

// SiteClasses are the classes of the fleets of sites, SitePlan their plan.
const SiteClasses = `max_retry_after_ms = 2000
[[chat.class]]
name = "query"
models = ["query"]
effect = "safe"
aim_ms = 1000
deadline_ms = 3000
worth = 3
[[chat.class]]
name = "filing"
models = ["filing"]
effect = "unsafe"
aim_ms = 1500
deadline_ms = 4000
worth = 2
`

// SitePlan declares three sites whose servers carry so many answers a second, which may be wrong.
func SitePlan(capacity float64) string {
	var b strings.Builder
	b.WriteString("[sites]\nlost_after_ms = 1000\nwarm_ms = 6000\n")
	for i, name := range siteNames {
		_, _ = fmt.Fprintf(&b, "[[sites.site]]\nname = %q\ncapacity = %g\nservers = 2\nrouters = 2\nmembers = %d\n", name, capacity, min(2, 5-2*i))
	}
	b.WriteString("[[sites.class]]\nname = \"query\"\n[[sites.class]]\nname = \"filing\"\nfloor = 0.1\n")
	return b.String()
}

var siteNames = []string{"a", "b", "c"}

// SiteRate is what a site's two emulated servers carry, in answers a second.
const SiteRate = 80

// SiteFleet is a fleet of three sites of two routers and two emulated servers each; five of the routers hold a member
// of the store, two of a site at most.
type SiteFleet struct {
	*Fleet
	host    *Host
	servers []*emulated
}

// emulated is a server in a process of its own.
type emulated struct {
	addr, log, bin string
	more           []string // arguments

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (s *emulated) start(cold bool) error {
	args := []string{"server", "--listen", s.addr, "--log", s.log}
	if cold {
		args = append(args, "--cold")
	}
	args = append(args, s.more...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil {
		return nil
	}
	cmd := exec.Command(filepath.Join(s.bin, "sumalab"), args...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	s.cmd = cmd
	return nil
}

func (s *emulated) signal(sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil {
		_ = s.cmd.Process.Signal(sig) // one that has ended is no matter
	}
}

func (s *emulated) running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cmd != nil
}

// end ends its process by a signal and waits for it.
func (s *emulated) end(sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil {
		_ = s.cmd.Process.Signal(sig)
		_ = s.cmd.Wait()
		s.cmd = nil
	}
}

func (s *emulated) kill() { s.end(syscall.SIGKILL) }

// OpenSites makes a fleet of sites and has its servers run; plan is the [sites] of its file, which may be empty.
func OpenSites(o Options, plan string) (*SiteFleet, error) {
	h, err := NewHost(o.Seed + 1<<32)
	if err != nil {
		return nil, err
	}
	f := &SiteFleet{host: h}
	o.Daemons, o.Members, o.Servers, o.Sites, o.Addrs = 6, 5, cmp.Or(o.Servers, 6), siteNames, nil
	o.Classes, o.File, o.Calm = cmp.Or(o.Classes, SiteClasses), plan, true
	o.LeaseS, o.OnLapse = cmp.Or(o.LeaseS, 3), cmp.Or(o.OnLapse, "refuse")
	for i := range o.Servers {
		s := &emulated{addr: h.Port(), log: filepath.Join(o.Dir, serverName(i)+".ran"), bin: o.Bin, more: o.Emulated}
		if o.Args != nil {
			s.more = append(slices.Clone(o.Emulated), o.Args(i)...)
		}
		f.servers, o.Addrs = append(f.servers, s), append(o.Addrs, s.addr)
		if err := s.start(false); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	if f.Fleet, err = Open(o); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// Close ends all that runs.
func (f *SiteFleet) Close() error {
	for _, s := range f.servers {
		s.kill()
	}
	var err error
	if f.Fleet != nil {
		err = f.Fleet.Close()
	}
	return errors.Join(err, f.host.Close())
}

// parts are the places of a site's daemons and servers.
func (f *SiteFleet) parts(site string) (daemons []*Daemon, servers []*emulated) {
	for i, d := range f.Daemons {
		if f.o.site(i, len(f.Daemons)) == site {
			daemons = append(daemons, d)
		}
	}
	for i, s := range f.servers {
		if f.o.site(i, len(f.servers)) == site {
			servers = append(servers, s)
		}
	}
	return daemons, servers
}

// Lose ends a site's processes: its servers, and its routers with their members of the store if they go too.
func (f *SiteFleet) Lose(site string, routers bool) {
	daemons, servers := f.parts(site)
	for _, s := range servers {
		s.kill()
	}
	if routers {
		for _, d := range daemons {
			d.Kill()
		}
	}
}

// Return starts a site's processes again; its servers are cold.
func (f *SiteFleet) Return(site string) error {
	daemons, servers := f.parts(site)
	var all error
	for _, s := range servers {
		all = errors.Join(all, s.start(true)) // one that runs goes on
	}
	for _, d := range daemons {
		all = errors.Join(all, f.Start(d))
	}
	return all
}

// Pause halts a site's servers where they are, or has them go on.
func (f *SiteFleet) Pause(site string, on bool) {
	_, servers := f.parts(site)
	for _, s := range servers {
		if s.signal(syscall.SIGCONT); on {
			s.signal(syscall.SIGSTOP)
		}
	}
}

// Cut sets every link between a site and the others: its routers' to their servers and stores, and theirs to its own.
// out is what its own routers send, in what comes to them.
func (f *SiteFleet) Cut(site string, out, in Mode) {
	mine := func(i, n int) bool { return f.o.site(i, n) == site }
	for i, d := range f.Daemons {
		for j, e := range f.Daemons {
			if mine(i, len(f.Daemons)) && !mine(j, len(f.Daemons)) {
				f.Between(d.Name, e.Name, out, in)
			}
		}
		for j := range f.servers {
			l := f.back[[2]string{d.Name, serverName(j)}]
			switch a, b := mine(i, len(f.Daemons)), mine(j, len(f.servers)); {
			case a && !b:
				l.Set(out, in)
			case !a && b:
				l.Set(in, out)
			}
		}
	}
}

// Posture reads what the fleet has agreed on, from the copy that is newest: one that is cut off is behind.
func (f *SiteFleet) Posture(ctx context.Context) (newest sites.View) {
	for _, d := range f.Daemons {
		if !d.Running() {
			continue
		}
		r, err := d.Ask(ctx, siting.RangeAll())
		if err != nil {
			continue
		}
		if v, err := siting.Decode(r); err == nil && v.Last != nil && (newest.Last == nil || v.Last.Rev > newest.Last.Rev) {
			newest = v
		}
	}
	return newest
}

// Ran reads how often each request began to run, over all servers, and how often a server fell over.
func (f *SiteFleet) Ran() (ran map[string]int, falls int, err error) {
	ran = map[string]int{}
	for _, s := range f.servers {
		data, err := os.ReadFile(s.log)
		if err != nil {
			return nil, 0, err
		}
		lines := bufio.NewScanner(bytes.NewReader(data))
		for lines.Scan() {
			if id := lines.Text(); id == Fell {
				falls++
			} else if !strings.HasPrefix(id, emu.Warmed) {
				ran[id]++
			}
		}
	}
	return ran, falls, nil
}

// Fell is the line that an emulated server writes when it falls over.
const Fell = "FELL"

// PhaseMade is what came of a phase.
type PhaseMade struct {
	Name   string           `json:"phase"`
	Rate   float64          `json:"asked_per_s"`
	Worth  float64          `json:"worth_per_s"`
	Best   float64          `json:"best_worth_per_s"` // that the capacity allows, the most worth first
	Shares map[string]Share `json:"shares"`
}

// SiteDay is what came of the loss of a site and of its return.
type SiteDay struct {
	Phases []PhaseMade `json:"phases"`
	BackS  float64     `json:"back_s"` // from the loss until the time from which on the worth served is 95% of what the rest allows; -1: never
	Twice  int         `json:"filings_run_twice"`
	Falls  int         `json:"servers_pushed_over"`
	Silent int         `json:"without_answer"`
	States []string    `json:"states"` // of the lost site, as the fleet saw it
}

// SiteSettles is the time after each change of a day that is not counted with the phase that it begins.
const SiteSettles = 5 * time.Second

// best is the worth a second that a capacity allows of so many requests a second, queries first.
func best(rate, capacity float64) float64 {
	query := min(rate*0.6, capacity)
	return 3*query + 2*min(rate*0.4, capacity-query)
}

// LoseASite runs three sites at 60% of what they carry, loses one with its routers and two of five members of the store
// at 150% of what the others carry, goes on at 90% of that, and has it return cold at 60% of the whole.
func LoseASite(ctx context.Context, o Options, plan string, said func(string)) (day SiteDay, err error) {
	f, err := OpenSites(o, plan)
	if err != nil {
		return day, err
	}
	defer f.Close()
	if err := f.Up(ctx); err != nil {
		return day, err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	var mu sync.Mutex
	go func() {
		last := ""
		for watching.Err() == nil {
			if p := f.Posture(watching).Last; p != nil {
				v := p.Sites["a"]
				if now := string(v.State) + " " + string(v.Kind); now != last {
					last = now
					said(fmt.Sprintf("site a: %s (%s)", now, v.Reason))
					mu.Lock()
					day.States = append(day.States, string(v.State))
					mu.Unlock()
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	const rest, whole = 2 * SiteRate, 3 * SiteRate
	phases := []Phase{
		{Name: "all up, 60%", For: 5 * time.Second, Rate: 0.6 * whole},
		{Name: "one lost, 150% of the rest", For: 12 * time.Second, Rate: 1.5 * rest, Begin: func() error { f.Lose("a", true); return nil }},
		{Name: "one lost, 90% of the rest", For: 10 * time.Second, Rate: 0.9 * rest},
		{Name: "cold return, 60% of the whole", For: 14 * time.Second, Rate: 0.6 * whole, Begin: func() error { return f.Return("a") }},
	}
	list, err := f.Load(ctx, o.Seed, phases)
	if err != nil {
		return day, err
	}
	stop()
	capacity := []float64{whole, rest, rest, rest}
	at := time.Duration(0)
	for i, p := range phases {
		from := at
		if i > 0 { // the first seconds are the change's; how long it takes is told by BackS
			from += SiteSettles
		}
		m := PhaseMade{Name: p.Name, Rate: p.Rate, Best: best(p.Rate, capacity[i]), Shares: Shares(list, from, at+p.For)}
		m.Worth = Worth(m.Shares) / (at + p.For - from).Seconds()
		day.Phases = append(day.Phases, m)
		at += p.For
	}
	lost, allowed := phases[0].For, best(1.5*rest, rest*0.95)
	day.BackS = -1
	for end, t := lost+phases[1].For, lost; t < end-2*time.Second; t += 250 * time.Millisecond {
		if Worth(Shares(list, t, end))/(end-t).Seconds() >= 0.95*allowed {
			day.BackS = (t - lost).Seconds()
			break
		}
	}
	for _, a := range list {
		if a.Status == 0 {
			day.Silent++
		}
	}
	ran, falls, err := f.Ran()
	if err != nil {
		return day, err
	}
	day.Falls = falls
	for _, a := range list {
		if a.Class == "filing" && ran[a.ID] > 1 {
			day.Twice++
		}
	}
	return day, nil
}
