// Command fleetd runs the processes of the router fleet: control members, and on each edge machine a proxy and its agent.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"sumacloft/internal/agent"
	"sumacloft/internal/boot"
	"sumacloft/internal/control/disklog"
	"sumacloft/internal/control/member"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/proxy/run"
	"sumacloft/internal/trial"
)

// command is the command line.
type command struct {
	Proxy   proxyCommand   `cmd:"" help:"Serve clients on this machine, as the machine's agent tells."`
	Agent   agentCommand   `cmd:"" help:"Keep this machine's link to the fleet and feed its proxy."`
	Control controlCommand `cmd:"" help:"Serve workers and the operator, and keep the configuration."`
	Check   checkCommand   `cmd:"" help:"Check a file before it is put in place."`
	Status  statusCommand  `cmd:"" help:"Show the fleet as a control member or an agent knows it."`
	Disk    diskCommand    `cmd:"" help:"Look at the disk of a stopped control member, or restore from it."`
	Locks   locksCommand   `cmd:"" help:"List the applications' locks that are held, or free one."`
	Cells   cellsCommand   `cmd:"" help:"Read an application's key."`
	Watch   watchCommand   `cmd:"" help:"Follow the puts in a group of applications' keys."`
	Log     logCommand     `cmd:"" help:"Show the newest log lines of a process, which it holds in memory."`
	Trial   bool           `help:"Take part in a trial: mechanisms may be switched off. Never in service."`
	Without []string       `help:"Mechanisms to switch off in a trial, by their names in internal/trial."`
	Verbose bool           `help:"Write every log line at once, not only when something goes wrong." env:"SUMACLOFT_VERBOSE"`
}

// process is what all long-running subcommands need.
type process struct {
	settings *boot.Settings
	lines
	ctx  context.Context
	stop context.CancelFunc
}

func main() {
	parser := newParser(&streams{out: os.Stdout, notes: os.Stderr})
	parsed, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	parsed.FatalIfErrorf(parsed.Run())
}

// newParser reads command lines whose commands write to the streams.
func newParser(to *streams, more ...kong.Option) *kong.Kong {
	line := &command{}
	options := []kong.Option{
		kong.Name("fleetd"),
		kong.Description("The processes of a router fleet for split prefill and decode, and the tools of its operators."),
		kong.UsageOnError(),
		kong.Writers(to.out, to.notes),
		kong.Bind(line, to),
	}
	return kong.Must(line, append(options, more...)...)
}

// start reads the boot file and prepares the log and the signals.
func start(line *command) (*process, error) {
	settings, err := boot.Load(os.Getenv(boot.PathVariable))
	if err != nil {
		return nil, err
	}
	settings.Trial, err = trial.Parse(line.Without, line.Trial)
	if err != nil {
		return nil, err
	}
	log := newLines(os.Stderr, line.Verbose)
	if settings.Trial.Any() {
		log.log.Warn().Stringer("without", settings.Trial).Msg("this is a trial: mechanisms are switched off")
	}
	log.watchSignal(os.Stderr)
	signal.Ignore(syscall.SIGPIPE) // a process whose stderr nobody reads any more goes on
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return &process{settings: settings, lines: log, ctx: ctx, stop: stop}, nil
}

// proxyCommand runs a proxy.
type proxyCommand struct{}

// Run serves until SIGTERM.
func (c *proxyCommand) Run(line *command) error {
	p, err := start(line)
	if err != nil {
		return err
	}
	defer p.stop()
	signal.Ignore(syscall.SIGHUP) // what the proxy needs comes by its agent
	run.MemoryShare.LimitRuntime(p.settings.Limits.MemoryMB)
	proxy := run.New(p.settings, network.System{}, p.log, p.out)
	shown := serveProxyStatus(p, proxy.HandleStatus, proxy.Account())
	defer func() { _ = shown.Close() }() // the process ends
	return proxy.Run(p.ctx)
}

// agentCommand runs an agent.
type agentCommand struct{}

const (
	// idleLimit is how long the agent waits for questions of its proxy before it ends.
	idleLimit = 300 * time.Millisecond
	// idleCheck is how often it looks.
	idleCheck = 50 * time.Millisecond
	// endMargin is what of the grace is left when the agent ends in any case.
	endMargin = 300 * time.Millisecond
)

// Run serves until SIGTERM, and on until the proxy has ended.
func (c *agentCommand) Run(line *command) error {
	p, err := start(line)
	if err != nil {
		return err
	}
	defer p.stop()
	agent.MemoryShare.LimitRuntime(p.settings.Limits.MemoryMB)
	beside := agent.New(p.settings, network.System{}, p.log)
	beside.ServeLog(p.ring)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go reload(p, hangups, beside.Reload)
	working, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- beside.Run(working) }()
	select {
	case err := <-failed:
		return err
	case <-p.ctx.Done():
	}
	end := time.Now().Add(p.settings.Rules.Grace - endMargin)
	for time.Now().Before(end) && !beside.Idle(idleLimit) {
		time.Sleep(idleCheck)
	}
	beside.Leave()
	beside.Close()
	return nil
}

// reload reads the boot file again at each hangup; a bad one is logged and changes nothing.
func reload(p *process, hangups <-chan os.Signal, take func(*boot.Settings)) {
	for range hangups {
		settings, err := boot.Load(os.Getenv(boot.PathVariable))
		if err != nil {
			p.log.Error().Err(err).Msg("the boot file can't be read again; the old settings stay")
			continue
		}
		take(settings)
	}
}

// controlCommand runs a control member.
type controlCommand struct{}

// Run serves until SIGTERM.
func (c *controlCommand) Run(line *command) error {
	p, err := start(line)
	if err != nil {
		return err
	}
	defer p.stop()
	member.MemoryShare.LimitRuntime(p.settings.Limits.MemoryMB)
	control := member.New(p.settings, network.System{}, member.Disk{Open: disklog.OS}, p.log)
	control.ServeLog(p.ring)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go reload(p, hangups, control.Reload)
	if err := control.Run(p.ctx); err != nil {
		return err
	}
	control.Close()
	return nil
}
