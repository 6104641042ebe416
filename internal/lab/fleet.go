package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"

	"sumacloft/internal/etcd"
)

// Options set up a fleet.
type Options struct {
	Dir     string // for files, directories and logs
	Bin     string // the folder of sumacloft and sumactl
	Daemons int
	Servers int
	Seed    uint64
	Env     []string // of the daemons, beside this process's
	// Settings go into every daemon's file: the lease in seconds, what it does on a lapse, and more of [policy].
	LeaseS  int
	OnLapse string
	Policy  string
	// File is put at the end of every daemon's file.
	File string
	// Classes are the classes of the first policy, as TOML; one safe class "query" if it is empty.
	Classes string
	// Calm has the store take snapshots as rarely as it does in service; otherwise they are frequent, so that runs meet
	// them.
	Calm bool
	// Clients is how many clients ask at once, where a run has them; 0 stands for a few.
	Clients int
	// Answers is how a stand-in server answers; nil: at once, with a few bytes.
	Answers http.Handler
	// Sites are the names of sites, over which daemons and servers are spread in equal parts, in order; none: there are
	// no zones. Members is how many daemons hold a member of the store, each of a site in turn; 0: all.
	Sites   []string
	Members int
	// Limit is how long a change of policy may wait for routers, 6 s if it is 0; Waits is how long a step waits for a change's
	// phase, 4 s if it is 0: in a drawn schedule it may never come.
	Limit, Waits time.Duration
	// Args are more arguments of an emulated server, when it starts first; nil: none.
	Args func(server int) []string
	// Addrs are where the servers listen, in the place of stand-ins in this process.
	Addrs []string
	// Emulated are more arguments of emulated servers.
	Emulated []string
	// Watched has daemons without a member of the store follow the list of servers there too; whoever opens the fleet writes it.
	Watched bool
	// Programs are the folders of the programs that routers of some labels run; all others run that of Bin.
	Programs map[string]string
	// Books has clients of the store work beside a schedule, whose history is judged.
	Books bool
}

// site is the site of the i-th of n daemons or servers.
func (o Options) site(i, n int) string {
	if len(o.Sites) == 0 {
		return ""
	}
	return o.Sites[i*len(o.Sites)/n]
}

// member tells whether the i-th daemon holds a member of the store: the last daemons do not.
func (o Options) member(i int) bool { return o.Members == 0 || i < o.Members }

// Daemon is one daemon of a fleet, through its restarts.
type Daemon struct {
	Name   string
	Listen string // where it really listens
	Raft   string
	Client string
	file   string
	dir    string
	bin    string // the folder of its program; "": the fleet's

	conn *grpc.ClientConn // to its node, past all links

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{} // closed once the process has ended
	stopped bool
}

// Fleet is a set of daemons that share a store, with every connection between them on links.
type Fleet struct {
	o       Options
	host    *Host
	Daemons []*Daemon
	store   map[[2]string][2]*Link // by who dials whom: raft, and the store's clients
	fronts  map[string]*Link       // clients to daemons
	desks   map[string]*Link       // operators to daemons
	back    map[[2]string]*Link    // daemons to servers
	servers []*http.Server
	links   []*Link
}

// Open makes the files and links of a fleet, and starts its stand-in servers; no daemon runs yet.
func Open(o Options) (*Fleet, error) {
	h, err := NewHost(o.Seed)
	if err != nil {
		return nil, err
	}
	f := &Fleet{o: o, host: h, store: map[[2]string][2]*Link{}, fronts: map[string]*Link{}, desks: map[string]*Link{}, back: map[[2]string]*Link{}}
	if err := f.build(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// Front is where clients reach a daemon.
func (f *Fleet) Front(name string) string { return f.fronts[name].Addr() }

// Desk is where operators reach a daemon's store.
func (f *Fleet) Desk(name string) string { return f.desks[name].Addr() }

// Desks are all of them.
func (f *Fleet) Desks() []string {
	var out []string
	for _, d := range f.Daemons {
		out = append(out, f.Desk(d.Name))
	}
	return out
}

// Daemon finds a daemon by its name.
func (f *Fleet) Daemon(name string) *Daemon {
	i := slices.IndexFunc(f.Daemons, func(d *Daemon) bool { return d.Name == name })
	if i < 0 {
		return nil
	}
	return f.Daemons[i]
}

// Close ends every process that was started, by its id, and all links.
func (f *Fleet) Close() error {
	var all error
	for _, d := range f.Daemons {
		d.signal(syscall.SIGKILL)
		d.wait()
		all = errors.Join(all, d.conn.Close())
	}
	for _, s := range f.servers {
		all = errors.Join(all, s.Close())
	}
	for _, l := range f.links {
		all = errors.Join(all, l.Close())
	}
	return errors.Join(all, f.host.Close())
}

// Start starts a daemon that does not run.
func (f *Fleet) Start(d *Daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(f.o.Dir, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	cmd := exec.Command(filepath.Join(cmp.Or(d.bin, f.o.Bin), "sumacloft"), "-config", d.file)
	cmd.Env = append(append(os.Environ(), "SUMACLOFT_CLOCK="+f.clock(d)), f.o.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = cmd.Wait() // how it ended is in its log
	}()
	d.cmd, d.ended, d.stopped = cmd, ended, false
	return nil
}

// runs has the daemon's next process be that of another folder; "": the fleet's.
func (d *Daemon) runs(bin string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bin = bin
}

// running tells whether the process runs; the lock is held.
func (d *Daemon) running() bool {
	if d.cmd == nil {
		return false
	}
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// Running tells whether the daemon's process runs, stopped or not.
func (d *Daemon) Running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running()
}

func (d *Daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.running() {
		return
	}
	d.stopped = s == syscall.SIGSTOP
	_ = d.cmd.Process.Signal(s) // one that has just ended is no matter
}

func (d *Daemon) wait() {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Kill ends a daemon's process at once.
func (d *Daemon) Kill() { d.signal(syscall.SIGKILL); d.wait() }

// Terminate ends it in good order, and does not wait.
func (d *Daemon) Terminate() { d.signal(syscall.SIGCONT); d.signal(syscall.SIGTERM) }

// Stop halts the process where it is.
func (d *Daemon) Stop() { d.signal(syscall.SIGSTOP) }

// Continue has it go on.
func (d *Daemon) Continue() { d.signal(syscall.SIGCONT) }

// Forget takes away what the daemon's router keeps in its directory; the store's own files stay, since a node of the
// store must not come back without them.
func (d *Daemon) Forget() error {
	var all error
	for _, name := range [...]string{"policy.json", "router.id", "router.lock"} {
		if err := os.Remove(filepath.Join(d.dir, name)); !errors.Is(err, os.ErrNotExist) {
			all = errors.Join(all, err)
		}
	}
	return all
}

// Between sets the links over which two daemons reach each other's stores; forward is from the first to the second,
// whoever dials.
func (f *Fleet) Between(a, b string, forward, back Mode) {
	for _, l := range f.store[[2]string{a, b}] {
		if l != nil {
			l.Set(forward, back)
		}
	}
	for _, l := range f.store[[2]string{b, a}] {
		if l != nil {
			l.Set(back, forward)
		}
	}
}

// Isolate sets all links between a daemon and the other daemons; forward is what it sends.
func (f *Fleet) Isolate(name string, forward, back Mode) {
	for _, d := range f.Daemons {
		if d.Name != name {
			f.Between(name, d.Name, forward, back)
		}
	}
}

// Heal has all links pass again.
func (f *Fleet) Heal() {
	for _, l := range f.links {
		l.Set(Mode{}, Mode{})
	}
}

// Healthy tells whether a daemon answers its health check, past all links.
func (d *Daemon) Healthy(ctx context.Context) bool {
	ctx, done := context.WithTimeout(ctx, time.Second)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Listen+"/health", nil)
	if err != nil {
		return false
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pause between two looks at a condition.
const pause = 2 * time.Millisecond

// until waits for a condition; false: not within the time.
func until(ctx context.Context, within time.Duration, is func() bool) bool {
	ctx, done := context.WithTimeout(ctx, within)
	defer done()
	for !is() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
	}
	return true
}

// Up starts all daemons and waits until they are ready.
func (f *Fleet) Up(ctx context.Context) error {
	for _, d := range f.Daemons {
		if err := f.Start(d); err != nil {
			return err
		}
	}
	if err := f.Ready(ctx, 20*time.Second); err != nil {
		return err
	}
	for _, d := range f.Daemons {
		if !d.Running() {
			return fmt.Errorf("%s has ended: see %s", d.Name, filepath.Join(f.o.Dir, d.Name+".log"))
		}
	}
	return nil
}

// Ready waits until every daemon that runs is ready.
func (f *Fleet) Ready(ctx context.Context, within time.Duration) error {
	for _, d := range f.Daemons {
		if d.Running() && !until(ctx, within, func() bool { return d.Healthy(ctx) }) {
			return fmt.Errorf("%s is not ready within %v: see %s", d.Name, within, filepath.Join(f.o.Dir, d.Name+".log"))
		}
	}
	return nil
}

// Ask reads from one daemon's copy of the store, past all links.
func (d *Daemon) Ask(ctx context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	ctx, done := context.WithTimeout(ctx, 300*time.Millisecond)
	defer done()
	return pb.NewKVClient(d.conn).Range(ctx, r)
}

// Leader finds the daemon whose node leads the store; nil: none is known to.
func (f *Fleet) Leader(ctx context.Context) *Daemon {
	for _, d := range f.Daemons {
		if !d.Running() {
			continue
		}
		r, err := d.Ask(ctx, &pb.RangeRequest{Key: []byte{0}, CountOnly: true})
		if err != nil {
			continue
		}
		for _, o := range f.Daemons {
			if etcd.MemberID(o.Name) == r.Header.MemberId {
				return o
			}
		}
	}
	return nil
}
