package fleettest

import (
	"context"
	"fmt"
	"net/http"

	"sumacloft/internal/agent"
	"sumacloft/internal/boot"
	"sumacloft/internal/fleettest/memnet"
	"sumacloft/internal/proxy/run"
)

// Edge is an edge machine: an agent and a proxy.
type Edge struct {
	Node string
	IP   string
	Zone string

	fleet    *Fleet
	machine  *memnet.Machine
	starters []string // of the boot file; empty: all members that there are
	agent    life
	proxy    life
}

// life is one life of a process.
type life struct {
	process *memnet.Process
	cancel  context.CancelFunc
	ended   chan struct{}
}

func (l *life) kill() {
	l.process.Kill()
	l.cancel()
}

func (f *Fleet) newEdge(i int) *Edge {
	ip := fmt.Sprintf("10.1.%d.1", i)
	return &Edge{Node: fmt.Sprintf("edge-%d", i), IP: ip, Zone: f.zone(i), fleet: f, machine: f.Network.Machine(ip)}
}

// Front is where clients reach the proxy.
func (e *Edge) Front() string { return fmt.Sprintf("%s:%d", e.IP, frontPort) }

// Start starts both processes.
func (e *Edge) Start() {
	e.StartAgent()
	e.StartProxy()
}

func (e *Edge) settings() *boot.Settings {
	settings := e.fleet.settings(e.Node, e.IP, e.Zone)
	if len(e.starters) > 0 {
		settings.Starters = e.starters
	}
	settings.ListenOn.Front = e.Front()
	settings.ListenOn.Ready = fmt.Sprintf("%s:%d", e.IP, readyPort)
	return settings
}

// begin starts a process that runs until it is cancelled; after that the system closes what it holds.
func (e *Edge) begin(build func(*memnet.Process) func(context.Context) error) life {
	ctx, cancel := context.WithCancel(context.Background())
	born := life{process: e.machine.Process(), cancel: cancel, ended: make(chan struct{})}
	run := build(born.process)
	log := e.fleet.log.logger(e.Node)
	e.fleet.process(func() {
		defer close(born.ended)
		if err := run(ctx); err != nil {
			log.Error().Err(err).Msg("ended")
		}
		born.process.Kill()
	}, func() {
		e.machine.PowerOff()
		cancel()
	})
	return born
}

// StartAgent starts the agent.
func (e *Edge) StartAgent() {
	e.agent = e.begin(func(process *memnet.Process) func(context.Context) error {
		beside := agent.New(e.settings(), process, e.fleet.log.logger(e.Node+"/agent"))
		beside.InjectFaults(e.fleet.plan.Faults.Agent)
		return func(ctx context.Context) error {
			defer beside.Close()
			err := beside.Run(ctx)
			beside.Leave()
			return err
		}
	})
}

// StartProxy starts the proxy.
func (e *Edge) StartProxy() {
	e.proxy = e.begin(func(process *memnet.Process) func(context.Context) error {
		log := e.fleet.log.logger(e.Node + "/proxy")
		return run.New(e.settings(), process, log, e.fleet.log).Run
	})
}

// KillAgent ends the agent at once.
func (e *Edge) KillAgent() { e.agent.kill() }

// KillProxy ends the proxy at once.
func (e *Edge) KillProxy() { e.proxy.kill() }

// StopProxy tells the proxy to end, as SIGTERM does, and returns a channel that is closed at its end.
func (e *Edge) StopProxy() <-chan struct{} {
	e.proxy.cancel()
	return e.proxy.ended
}

// Stop ends both processes as SIGTERM does, and waits for their end.
func (e *Edge) Stop() {
	<-e.StopProxy()
	e.agent.cancel()
	<-e.agent.ended
}

// PowerOff takes the machine's power.
func (e *Edge) PowerOff() {
	e.machine.PowerOff()
	e.proxy.cancel()
	e.agent.cancel()
}

// PowerOn restores the power and starts both processes.
func (e *Edge) PowerOn() {
	e.machine.PowerOn()
	e.Start()
}

// Ready reports whether the proxy says that it takes connections.
func (e *Edge) Ready() bool {
	status := e.fleet.Client.get(fmt.Sprintf("http://%s:%d/v1/ready", e.IP, readyPort))
	return status == http.StatusOK
}
