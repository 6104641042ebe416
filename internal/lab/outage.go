package lab

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/config"
	"sumacloft/internal/decide/outage"
	"sumacloft/internal/etcd"
	fleetoutage "sumacloft/internal/fleet/outage"
	"sumacloft/internal/fleet/policy"
)

// OutagePlan is the budget of the laboratory's fleets: two of nine servers, one of a site, one router.
const OutagePlan = `[outage]
workers = 2
routers = 1
workers_site = 1
pause_ms = 300
lost_ms = 900
warm_ms = 700
return_ms = 12000
report_ms = 200
[outage.halt]
least = 40
level = 0.001
over_ms = 60000
`

// OutageFleet is a fleet of three sites, six routers, five members of the store and nine servers, with a deployer that
// replaces what the fleet has let out.
type OutageFleet struct {
	*SiteFleet
	dir, bin      string
	kv            *etcd.Client
	bad           map[string]string                       // by label: the part of requests that its version fails
	args          func(server int, label string) []string // more arguments of a server that is started with a label; nil: none
	onServerStart func(server string, started float64)    // called with mu held for each start in the lists, in ms; nil: unused

	mu       sync.Mutex
	off      bool            // the deployer does nothing
	manner   string          // how the deployer does its next replacement of a server wrong
	watch    time.Duration   // for how long it looks for late requests
	dead     map[string]bool // servers that it will never bring back
	gone     map[string]bool // sites that are lost: nothing starts there
	lost     map[string]bool
	wrong    []string
	replaced int
	most     int // servers that were down at once by the deployer's hand
}

// OpenOutages makes the fleet; nothing but its servers runs yet.
func OpenOutages(o Options, plan string) (*OutageFleet, error) {
	o.Servers, o.Policy, o.LeaseS = 9, "label = \"v1\"\n", cmp.Or(o.LeaseS, 2)
	o.Emulated = append(slices.Clone(o.Emulated), "--sick", filepath.Join(o.Dir, "sick"))
	f := &OutageFleet{dir: o.Dir, bin: o.Bin, bad: map[string]string{"bad": "0.25", "bad20": "0.05"}, watch: watched,
		lost: map[string]bool{}, dead: map[string]bool{}, gone: map[string]bool{}}
	var err error
	if f.SiteFleet, err = OpenSites(o, plan); err != nil {
		return nil, err
	}
	var ends []string
	for i, d := range f.Daemons {
		if f.o.member(i) {
			ends = append(ends, d.Client)
		}
	}
	if f.kv, err = etcd.NewClient(ends); err != nil {
		return nil, errors.Join(err, f.SiteFleet.Close())
	}
	return f, nil
}

// Up starts all daemons and waits until they are ready and each that holds a member of the store has its list of servers there.
// A daemon is ready before it has written that list, and what is recorded of a server before then would stand in the other
// daemons' lists alone.
func (f *OutageFleet) Up(ctx context.Context) error {
	if err := f.SiteFleet.Up(ctx); err != nil {
		return err
	}
	for i, d := range f.Daemons {
		if f.o.member(i) && !until(ctx, within, func() bool { return f.listed(ctx, d) }) {
			return &NotSeenError{What: "the list of servers that " + d.Name + " writes into the store"}
		}
	}
	return nil
}

// listed tells whether a daemon's list stands in the store; false: it doesn't, or nobody answers.
func (f *OutageFleet) listed(ctx context.Context, d *Daemon) bool {
	ctx, done := context.WithTimeout(ctx, time.Second)
	defer done()
	list, err := f.kv.Range(ctx, etcd.Under(memberPrefix(d), false))
	return err == nil && len(list.Kvs) == len(f.servers)
}

// Close ends all that runs.
func (f *OutageFleet) Close() error { return errors.Join(f.kv.Close(), f.SiteFleet.Close()) }

func (f *OutageFleet) fault(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wrong = append(f.wrong, fmt.Sprintf(format, args...))
}

// State reads what is agreed on; nil: nothing is, or nobody answers.
func (f *OutageFleet) State(ctx context.Context) *outage.State {
	ctx, done := context.WithTimeout(ctx, time.Second)
	defer done()
	r, err := f.kv.Range(ctx, &pb.RangeRequest{Key: []byte(fleetoutage.StateKey)})
	if err != nil {
		return nil
	}
	return fleetoutage.Read(r)
}

// Ctl runs sumactl against some daemons' desks and gives its exit code and what it printed.
func (f *OutageFleet) Ctl(ctx context.Context, desks []string, args ...string) (int, string) {
	cmd := exec.CommandContext(ctx, filepath.Join(f.bin, "sumactl"), append([]string{"--endpoint", strings.Join(desks, ",")}, args...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if e := (*exec.ExitError)(nil); errors.As(err, &e) {
		return e.ExitCode(), out.String()
	} else if err != nil {
		return -1, err.Error()
	}
	return 0, out.String()
}

// Release starts a release to a label, of servers or routers.
func (f *OutageFleet) Release(ctx context.Context, kind outage.Kind, to string, more string) (int, string) {
	path := filepath.Join(f.dir, "release-"+to+".toml")
	text := fmt.Sprintf("name = %q\nkind = %q\nto = %q\n%s\n", "to-"+to, kind, to, more)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return -1, err.Error()
	}
	return f.Ctl(ctx, f.memberDesks(), "release", "start", path)
}

func (f *OutageFleet) memberDesks() []string { return f.Desks()[:5] }

func (f *OutageFleet) place(server string) int {
	for i := range f.servers {
		if serverName(i) == server {
			return i
		}
	}
	return 0
}

// Labels are those of the servers, or of the routers, that are in force.
func (f *OutageFleet) Labels(ctx context.Context, kind outage.Kind) (map[string]string, error) {
	ctx, done := context.WithTimeout(ctx, 3*time.Second)
	defer done()
	v, _, err := fleetoutage.NewStore(f.kv).View(ctx)
	if err != nil {
		return nil, err
	}
	out := map[string]string{}
	if kind == outage.Router {
		for name, r := range v.Routers {
			out[name] = r.Label
		}
		return out, nil
	}
	for _, r := range v.Reports {
		if !r.StoreMember { // its list is its file's, which knows no labels
			continue
		}
		for id, s := range r.Observed {
			out[id] = s.Label
		}
	}
	return out, nil
}

// Audit reads the state's whole history out of the store and has every revision looked at.
func (f *OutageFleet) Audit(ctx context.Context) (*outage.Auditor, error) {
	ctx, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	models := map[int64]outage.Model{}
	a := &outage.Auditor{Model: func(version int64) (outage.Model, bool) {
		if m, is := models[version]; is {
			return m, true
		}
		v, err := policy.Store{Client: f.kv}.Version(ctx, version)
		if err != nil {
			return outage.Model{}, false
		}
		m, err := config.OutageOf(v.Text)
		models[version] = m
		return m, err == nil
	}}
	return a, history(ctx, f.kv, fleetoutage.StateKey, func(value []byte) error {
		s := &outage.State{}
		err := json.Unmarshal(value, s)
		if err == nil {
			a.Check(s)
		}
		return err
	})
}
