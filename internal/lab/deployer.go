package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/discovery"
	"sumacloft/internal/etcd"
)

// Deploy follows permits until ctx ends: what is clear is replaced by the label that its permit names. The deployer is
// outside of the fleet: it knows nothing but the state. It does one thing at a time to each server and router, and begins
// once for each permit; what ended again before its permit did is started again.
func (f *OutageFleet) Deploy(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	began := map[string]int64{} // by target: the permit that it was last replaced under
	var mu sync.Mutex
	busy := map[string]bool{}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(30 * time.Millisecond):
		}
		f.mu.Lock()
		off := f.off
		f.mu.Unlock()
		if off {
			continue
		}
		s := f.State(ctx)
		if s == nil {
			continue
		}
		mu.Lock()
		for target, p := range s.Permits {
			if busy[target] || p.Stage != outage.Acknowledged || p.For == outage.ByHand || began[target] == p.ID && f.runs(target) || f.unrecoverable(target) {
				continue
			}
			busy[target] = true
			all.Add(1)
			go func() {
				defer all.Done()
				did := f.replace(ctx, target, p.ID)
				mu.Lock()
				defer mu.Unlock()
				busy[target] = false
				if did {
					began[target] = p.ID
				}
			}()
		}
		mu.Unlock()
	}
}

func (f *OutageFleet) runs(target string) bool {
	kind, name := outage.Split(target)
	if kind == outage.Router {
		return f.Daemon(name).Running()
	}
	return f.servers[f.place(name)].running()
}

// unrecoverable tells whether the deployer can do nothing to a target: it will never come back, or its site is lost.
func (f *OutageFleet) unrecoverable(target string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, name := outage.Split(target)
	return f.dead[name] || f.gone[f.siteOf(target)]
}

func (f *OutageFleet) siteOf(target string) string {
	kind, name := outage.Split(target)
	if kind == outage.Server {
		return f.o.site(f.place(name), len(f.servers))
	}
	return f.o.site(slices.Index(f.Daemons, f.Daemon(name)), len(f.Daemons))
}

// startUnlessLost starts a target if its site is not lost by now; false: it is.
func (f *OutageFleet) startUnlessLost(target string, start func() error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone[f.siteOf(target)] {
		return false
	}
	if err := start(); err != nil {
		f.wrong = append(f.wrong, fmt.Sprintf("start %s: %v", target, err))
	}
	return true
}

// order reads a target's permit, with the label that it is to come back with; false: it is not to be stopped under that
// permit, or not now.
func (f *OutageFleet) order(ctx context.Context, target string, permit int64) (outage.Permit, bool) {
	var s *outage.State
	if !until(ctx, within, func() bool { s = f.State(ctx); return s != nil }) {
		return outage.Permit{}, false
	}
	p, out := s.Permits[target]
	return p, out && p.ID == permit && p.Stage == outage.Acknowledged
}

// watched is for how long the deployer looks whether something new comes to a server that it is about to stop.
const watched = 150 * time.Millisecond

// replace stops a target and starts it with the label that its permit names by then; false: nothing was done.
func (f *OutageFleet) replace(ctx context.Context, target string, permit int64) bool {
	kind, name := outage.Split(target)
	if kind == outage.Router {
		p, clear := f.order(ctx, target, permit)
		if !clear {
			return false
		}
		d := f.Daemon(name)
		d.Terminate()
		d.wait()
		d.runs(f.o.Programs[p.To])
		if err := relabel(d.file, p.To); err != nil {
			f.fault("relabel %s: %v", name, err)
		}
		f.startUnlessLost(target, func() error { return f.Start(d) })
		f.mu.Lock()
		f.replaced++
		f.mu.Unlock()
		return true
	}
	i := f.place(name)
	sv := f.servers[i]
	late := 0
	if sv.running() {
		select { // the routers' own time to have heard is over
		case <-ctx.Done():
			return false
		case <-time.After(time.Second):
		}
		f.mu.Lock()
		watch := f.watch
		f.mu.Unlock()
		before := lines(sv.log)
		time.Sleep(watch)
		late = lines(sv.log) - before
	}
	p, clear := f.order(ctx, target, permit) // read after the count: so it stood all the while
	if !clear {
		return false
	}
	f.mu.Lock()
	if late > 0 {
		f.wrong = append(f.wrong, fmt.Sprintf("%s was sent %d requests later than 1 s after permit %d was clear", name, late, permit))
	}
	down := 1
	for id := range f.lost {
		if id != name {
			down++
		}
	}
	f.lost[name] = true
	f.most = max(f.most, down)
	manner := f.manner
	f.manner = ""
	f.dead[name] = manner == "never"
	f.mu.Unlock()
	sv.end(syscall.SIGTERM) // what it has is finished first
	if manner == "never" {
		return true
	}
	if now, clear := f.order(ctx, target, permit); clear {
		p = now
	} else if ctx.Err() == nil {
		f.fault("permit %d ended while %s was stopped under it", permit, name)
	}
	if manner == "old" {
		p.To = p.Label
	}
	f.Serve(ctx, i, p.To)
	if manner == "twice" && until(ctx, within, func() bool { _, clear := f.order(ctx, target, permit); return !clear }) { // it was seen back
		sv.end(syscall.SIGTERM)
		f.Serve(ctx, i, p.To)
	}
	f.mu.Lock()
	delete(f.lost, name)
	f.replaced++
	f.mu.Unlock()
	return true
}

// Serve starts a server that does not run, with a label, and says so in every router's list.
func (f *OutageFleet) Serve(ctx context.Context, i int, label string) {
	sv := f.servers[i]
	if !f.startUnlessLost(outage.ID(outage.Server, serverName(i)), func() error {
		sv.more = append([]string{"--warm", "500ms"}, f.o.Emulated...) // well within the plan's warm_ms: what is cold is slow, and would be taken for a bad version
		program, _ := labelled(label)
		if part := f.bad[program]; part != "" {
			sv.more = append(sv.more, "--fail", part)
		}
		if f.args != nil {
			sv.more = append(sv.more, f.args(i, label)...)
		}
		return sv.start(true)
	}) {
		return
	}
	started := float64(time.Now().UnixMilli())
	for ctx.Err() == nil {
		if err := f.record(ctx, serverName(i), label, started); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// recordAll writes down that all servers start now with a label.
func (f *OutageFleet) recordAll(ctx context.Context, label string) error {
	started := float64(time.Now().UnixMilli())
	for i := range f.servers {
		if err := answered(ctx, func() error { return f.record(ctx, serverName(i), label, started) }); err != nil {
			return err
		}
	}
	return nil
}

// record writes a server's start and label into every router's list.
func (f *OutageFleet) record(ctx context.Context, server, label string, started float64) error {
	ctx, done := context.WithTimeout(ctx, 2*time.Second)
	defer done()
	err := f.amend(ctx, []string{server}, func(m *discovery.Member) { m.Label, m.UpSinceMs = label, started })
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.onServerStart != nil {
		f.onServerStart(server, started)
	}
	return nil
}

// amend changes what every router's list in the store has of some servers, in one transaction. A daemon that has no list there
// has it from its file.
func (f *OutageFleet) amend(ctx context.Context, servers []string, change func(m *discovery.Member)) error {
	txn := &pb.TxnRequest{}
	for _, d := range f.Daemons {
		for _, server := range servers {
			key := memberKey(d, server)
			r, err := f.kv.Range(ctx, &pb.RangeRequest{Key: []byte(key)})
			if err != nil {
				return err
			}
			if len(r.Kvs) == 0 {
				continue
			}
			var m discovery.Member
			if err := json.Unmarshal(r.Kvs[0].Value, &m); err != nil {
				return err
			}
			m.ID = server
			change(&m)
			value, err := json.Marshal(m)
			if err != nil {
				return err
			}
			txn.Success = append(txn.Success, etcd.Put(key, value, 0))
		}
	}
	_, err := f.kv.Txn(ctx, txn)
	return err
}

// memberPrefix begins the keys of a daemon's list of servers in the store: each reaches them by links of its own.
func memberPrefix(d *Daemon) string { return "/sumacloft/members/" + d.Name + "/" }

// memberKey is the key of a server in a daemon's list.
func memberKey(d *Daemon, server string) string { return memberPrefix(d) + server }

func relabel(path, label string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	rows := strings.Split(string(data), "\n")
	i := slices.IndexFunc(rows, func(l string) bool { return strings.HasPrefix(l, "label = ") })
	if i < 0 {
		return fmt.Errorf("%s has no label", path)
	}
	rows[i] = fmt.Sprintf("label = %q", label)
	return os.WriteFile(path, []byte(strings.Join(rows, "\n")), 0o600)
}

func lines(path string) int {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	return bytes.Count(data, []byte("\n"))
}
