// Command sumacloft is a router for two-stage language-model serving. On the platform it reads the PROXY_*
// variables; with -config it serves the chat API as an operator's file sets it up.
package main

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"sumacloft/brain"
	"sumacloft/internal/config"
	"sumacloft/internal/core"
	"sumacloft/internal/discovery"
	"sumacloft/internal/downstream"
	"sumacloft/internal/inflight"
	"sumacloft/internal/ops"
	"sumacloft/internal/platform"
	"sumacloft/internal/upstream"
)

// memoryShare is how the program divides its memory.
var memoryShare = inflight.Share{Requests: 0.2, Connections: 0.2, Runtime: 0.75}

const (
	// lingers is how long after SIGTERM new connections are still taken: the front notices late that a router
	// is not ready any more. Whoever comes later than 0.7 s is owed a whole answer before the process is killed,
	// and a stream may take longer than that leaves: by then nobody must be able to come.
	lingers = 710 * time.Millisecond
	// owes is how long after SIGTERM what comes is still taken where the platform kills: a request that comes later than
	// 0.7 s must have its whole answer by the kill, and no one knows how long a stream will be. It is refused at once, on
	// whatever connection, while its client can still ask elsewhere. The rest is for a signal that is heard late.
	owes = 600 * time.Millisecond
	// settles is how long, once all answers are out, what is held for them may take to be let go.
	settles = time.Second
	sweeps  = time.Second
)

// line is the command line.
type line struct {
	Config string `help:"The operator's file; without it the PROXY_* variables are read." placeholder:"FILE"`
}

// arguments reads the command line. The flag may be spelled with one dash, as it once was.
func arguments(args []string) line {
	args = slices.Clone(args)
	for i, a := range args {
		if name, _, _ := strings.Cut(a, "="); name == "-config" {
			args[i] = "-" + a
		}
	}
	var l line
	parser := kong.Must(&l, kong.Name("sumacloft"), kong.Description("A router for two-stage language-model serving."))
	_, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	return l
}

func main() {
	file := arguments(os.Args[1:]).Config
	log := logrus.New()
	if text := os.Getenv("SUMACLOFT_LOG"); text != "" {
		level, err := logrus.ParseLevel(text)
		if err != nil {
			log.WithError(err).Fatal("SUMACLOFT_LOG")
		}
		log.SetLevel(level)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)   // a router whose log nobody reads any more goes on
	again := make(chan os.Signal, 1) // a reload that waits stands for all that came meanwhile
	signal.Notify(again, syscall.SIGHUP)
	start := onPlatform
	if file != "" {
		start = func(log *logrus.Logger) (*router, error) { return forOperator(log, file) }
	}
	r, err := start(log)
	if err == nil {
		err = r.serve(ctx, again, log)
		if r.close != nil {
			err = errors.Join(err, r.close())
		}
	}
	if err != nil {
		log.WithError(err).Fatal("sumacloft stopped")
	}
}

// front is what either front gives the daemon.
type front interface {
	http.Handler
	Drain()
}

// router is the wired program.
type router struct {
	listen string
	fd     int // a listening socket inherited from the platform; 0: listen is bound
	guard  *downstream.Guard
	budget *upstream.Budget
	pool   *upstream.Pool
	core   *core.Core
	listed func(brain.ListKind, []core.Worker) // takes the list of workers; nil: the core does
	front  front
	names  discovery.Names
	desk   *desk  // bans and the console; nil: none
	ducks  ducker // the front that a lame duck sheds; nil: none
	// longest is the longest deadline of the classes: after SIGTERM the platform waits for it, up to a point. 0:
	// the platform's rule does not apply.
	longest atomic.Int64
	console string
	source  source                 // of the list of workers; nil: it does not change
	moved   chan source            // a source that takes the place of the last one
	reload  func() (source, error) // reads the configuration again; no source: the list's place is the same
	close   func() error
	// handOver gives what waits to other routers, once no new requests are taken; nil: there is no other way than to end it.
	handOver func()
}

func (r *router) limit(l config.Limits) {
	runtime.GOMAXPROCS(max(int(l.Cores), 1))
	memoryShare.LimitRuntime(l.MemoryMB)
	account := memoryShare.Account(l.MemoryMB, l.Clients())
	r.guard = downstream.New(account.Limits().Connections, account)
	r.budget = upstream.NewBudget(l.Servers())
	r.moved = make(chan source)
}

// source brings lists of members until its context ends.
type source func(ctx context.Context, tell func(discovery.List))

// follow keeps the core's list of workers by the router's source, and by each that takes its place: the one before
// it is not heard any more once the next is asked.
func (r *router) follow(ctx context.Context) {
	tell := func(l discovery.List) {
		kind := brain.ListDelta
		if l.Complete {
			kind = brain.ListComplete
		}
		if r.desk != nil {
			r.desk.list(kind, l)
			return
		}
		r.listed(kind, r.names.Workers(l.Members))
	}
	for run := r.source; ; {
		watching, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if run != nil {
				run(watching, tell)
			}
		}()
		select {
		case <-ctx.Done():
		case run = <-r.moved:
		}
		stop()
		<-ended
		if ctx.Err() != nil {
			return
		}
	}
}

// move has another source followed from now on.
func (r *router) move(ctx context.Context, to source) {
	select {
	case r.moved <- to:
	case <-ctx.Done():
	}
}

func agent(addr string, pace *discovery.Pace, from discovery.From, log logrus.FieldLogger) source {
	return func(ctx context.Context, tell func(discovery.List)) {
		discovery.New(addr, pace, log).Run(ctx, from, tell)
	}
}

func onPlatform(log *logrus.Logger) (*router, error) {
	cfg, err := config.Platform(os.Getenv)
	if err != nil {
		return nil, err
	}
	if _, err := cfg.Settings.Brain(); err != nil {
		return nil, err
	}
	classes := &config.Catalog{}
	set, err := classes.Take(cfg.Settings).Brain()
	if err != nil {
		return nil, err
	}
	r := &router{listen: cfg.Listen, fd: cfg.ListenFD, console: cfg.Console}
	r.limit(cfg.Limits)
	bounds := cfg.Settings.Bounds
	r.pool = upstream.NewPool(r.budget, config.Millis(bounds.ConnectTimeoutMs), config.Millis(bounds.ConnIdleMs))
	workers := platform.NewWorkers(r.pool)
	r.core = core.New(set, cfg.Seed, workers, log)
	r.names = discovery.Names{Zones: cfg.Settings.Zones, Kinds: cfg.Settings.Kinds}
	r.longest.Store(int64(cfg.Settings.Longest()))
	r.desk = newDesk(banFile(cfg.Name), log, func(kind brain.ListKind, members []discovery.Member) {
		r.core.Listed(kind, r.names.Workers(members))
	})
	r.desk.list(brain.ListCached, cfg.Known)
	pace := &discovery.Pace{}
	if set.AskForList { // one discovery for all routers
		pace = discovery.Shared(cfg.Settings.Balancers, cfg.Seed)
	}
	r.source = agent(cfg.Discovery, pace, discovery.From{Revision: cfg.Known.Revision, Known: cfg.Known.Complete}, log)
	front := platform.New(r.core, workers, classes.Class)
	r.front, r.ducks = front, front
	r.reload = func() (source, error) {
		next, err := cfg.Again(os.Getenv)
		if err != nil {
			return nil, err
		}
		if _, err := next.Settings.Brain(); err != nil {
			return nil, err
		}
		needRestart(log, cfg.Stale(next))
		if !reflect.DeepEqual(cfg.Settings, next.Settings) {
			set, err := classes.Take(next.Settings).Brain()
			if err != nil { // checked above: a class of an earlier file is one that was taken
				return nil, err
			}
			r.core.UpdateSettings(set)
			r.longest.Store(int64(next.Settings.Longest()))
			cfg.Settings = next.Settings
			log.WithField("classes", len(next.Settings.Classes)).Info("settings retuned for new requests")
		}
		if cfg.Discovery == next.Discovery {
			return nil, nil
		}
		cfg.Discovery = next.Discovery
		return agent(cfg.Discovery, pace, discovery.From{Moved: true}, log), nil
	}
	return r, nil
}

func needRestart(log logrus.FieldLogger, keys []string) {
	if len(keys) > 0 {
		log.WithField("keys", keys).Warn("the new configuration changes what takes effect only with a restart")
	}
}

// reloads reads the configuration anew at every signal until ctx ends. What can't be read changes nothing.
func (r *router) reloads(ctx context.Context, again <-chan os.Signal, log *logrus.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		}
		switch to, err := r.reload(); {
		case err != nil:
			log.WithError(err).Error("the new configuration is not taken; the old one stands")
		case to != nil:
			log.Info("configuration read again: the list of workers is followed at its new place")
			r.move(ctx, to)
		default:
			log.Info("configuration read again: nothing moved")
		}
	}
}

// serve answers until ctx ends, then takes what still arrives for a while and ends what it has taken.
func (r *router) serve(ctx context.Context, again <-chan os.Signal, log *logrus.Logger) error {
	listener, err := r.listener()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	if r.listed == nil {
		r.listed = r.core.Listed
	}
	if r.desk != nil {
		if err := r.operators(background); err != nil {
			_ = listener.Close()
			return err
		}
	}
	go r.core.Run(background)
	go r.follow(background)
	go r.reloads(background, again, log)
	go r.sweep(background)
	go r.guard.Sweep(background)
	complaints := log.WriterLevel(logrus.WarnLevel)
	defer complaints.Close()
	server := r.guard.Server(r.front, stdlog.New(complaints, "", 0))
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(r.guard.Listen(listener)) }()
	log.WithField("listen", r.listen).Info("ready")
	if r.desk != nil {
		r.desk.ready.Store(true)
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	log.Info("draining")
	if r.desk != nil {
		r.desk.ended.Store(true)
	}
	r.front.Drain()
	r.guard.Shed(true)
	if longest := time.Duration(r.longest.Load()); longest > 0 {
		cut := time.AfterFunc(ops.LastCall(longest), func() {
			ended := r.core.EndUndecided()
			log.WithField("ended", ended).Warn("the last call before the kill: what has no answer fails, its holds are released")
		})
		defer cut.Stop()
		shut := time.AfterFunc(owes, r.core.RefuseNew)
		defer shut.Stop()
	}
	time.Sleep(lingers)
	if r.handOver != nil {
		r.handOver()
	}
	_ = listener.Close() // fails only where it is closed already
	<-failed             // who had come by then has been let in
	r.guard.Emptied()
	settling, done := context.WithTimeout(background, settles)
	defer done()
	r.core.WaitIdle(settling)
	log.Info("drained")
	return nil
}

// ducker is a front that can be emptied for a while.
type ducker interface{ Duck(on bool) }

// operators starts what serves the operators: the file of bans is followed, and the console opened if there is one.
func (r *router) operators(ctx context.Context) error {
	r.desk.duck = func(on bool) {
		r.ducks.Duck(on)
		r.guard.Shed(on || r.desk.ended.Load()) // after SIGTERM nothing is called off
	}
	go r.desk.follow(ctx)
	if r.console == "" {
		return nil
	}
	l, err := net.Listen("tcp", r.console)
	if err != nil {
		return fmt.Errorf("console: %w", err)
	}
	go r.desk.console(ctx, l)
	return nil
}

// listener is the socket that clients come to. An inherited one is shared with the platform and with the other
// process of an upgrade: closing this process's copy leaves what waits in its backlog to the other.
func (r *router) listener() (net.Listener, error) {
	if r.fd == 0 {
		return net.Listen("tcp", r.listen)
	}
	file := os.NewFile(uintptr(r.fd), "inherited listener")
	defer file.Close() // FileListener has a copy of its own
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("PROXY_FD: %d: %w", r.fd, err)
	}
	return listener, nil
}

func (r *router) sweep(ctx context.Context) { each(ctx, sweeps, r.pool.Sweep) }

// each does something once a period until ctx ends.
func each(ctx context.Context, period time.Duration, do func()) {
	every := time.NewTicker(period)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			do()
		}
	}
}
