// Package fleettest runs a whole fleet in one process for tests: control members with disks in memory, edge machines with
// an agent and a proxy each, stand-ins for workers, clients and the operator, all on a network in memory and, under
// testing/synctest, on a clock that moves on only when everybody waits. A story of minutes takes a moment.
package fleettest

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sumacloft/internal/agent"
	"sumacloft/internal/boot"
	"sumacloft/internal/control/member"
	"sumacloft/internal/fleettest/memnet"
)

const (
	// linkDelay is how long bytes travel between machines.
	linkDelay = time.Millisecond
	// checkInterval is how often Until looks.
	checkInterval = 20 * time.Millisecond
	// lingering is how long dials may outlive their process: they end with their limit.
	lingering    = 30 * time.Second
	insideFirst  = 7000
	insideLast   = 7010
	steeringPort = 7100
	frontPort    = 8080
	readyPort    = 8081
	workerPort   = 9000
)

// Plan says what a fleet consists of at its start.
type Plan struct {
	Controls int      // 0: 3
	Edges    int      // 0: 2; below: none
	Zones    []string // machines are spread over them in turn; empty: one
	Rules    func(*boot.Rules)
	Promises []string // the parts of the rules that are in force
	Faults   Faults
}

// Faults break a fleet's processes on purpose, to see that a scenario finds it.
type Faults struct {
	Agent  agent.Faults
	Member member.Faults
}

// Fleet is a running fleet.
type Fleet struct {
	Network  *memnet.Fabric
	Controls []*Control
	Edges    []*Edge
	Operator *Operator
	Client   *Client

	t       testing.TB
	plan    Plan
	began   time.Time
	log     *lines
	running sync.WaitGroup // processes

	mu      sync.Mutex
	added   int                // control members beyond the first ones
	fresh   int                // addresses given to them
	workers map[string]*Worker // by address
	ends    []func()           // what ends the processes
}

// Run runs a scenario of a fleet that has just been started for the first time. Scenarios run side by side: between them
// they share nothing.
func Run(t *testing.T, plan Plan, story func(c *qt.C, f *Fleet)) {
	t.Helper()
	t.Parallel()
	runAlone(t, plan, story)
}

// runAlone runs a scenario that the caller waits for.
func runAlone(t *testing.T, plan Plan, story func(c *qt.C, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := start(t, plan)
		defer f.end()
		story(qt.New(t), f)
	})
}

func start(t testing.TB, plan Plan) *Fleet {
	if plan.Controls == 0 {
		plan.Controls = 3
	}
	if plan.Edges == 0 {
		plan.Edges = 2
	}
	if len(plan.Zones) == 0 {
		plan.Zones = []string{"north"}
	}
	f := &Fleet{t: t, plan: plan, began: time.Now(), Network: memnet.New(linkDelay), workers: map[string]*Worker{}}
	f.log = &lines{began: f.began}
	f.Client = newClient(f)
	f.Operator = newOperator(f)
	for i := range plan.Controls {
		f.Controls = append(f.Controls, f.newControl(i, fmt.Sprintf("10.0.%d.1", i)))
	}
	for _, control := range f.Controls {
		control.Start(true)
	}
	for i := range plan.Edges {
		edge := f.newEdge(i)
		f.Edges = append(f.Edges, edge)
		edge.Start()
	}
	return f
}

// end takes the power off all machines and waits for what ran on them.
func (f *Fleet) end() {
	f.mu.Lock()
	ends := f.ends
	f.mu.Unlock()
	for _, end := range ends {
		end()
	}
	f.running.Wait()
	time.Sleep(lingering)
	if f.t.Failed() {
		f.t.Log(f.log.String())
	}
}

// process runs a process until it ends; end is how the fleet's end ends it.
func (f *Fleet) process(run func(), end func()) {
	f.mu.Lock()
	f.ends = append(f.ends, end)
	f.mu.Unlock()
	f.running.Go(run)
}

// PowerOff takes the power from all control members and edges.
func (f *Fleet) PowerOff() {
	for _, control := range f.Controls {
		control.PowerOff()
	}
	for _, edge := range f.Edges {
		edge.PowerOff()
	}
}

// PowerOn restores it, and starts their processes.
func (f *Fleet) PowerOn() {
	for _, control := range f.Controls {
		control.PowerOn()
	}
	for _, edge := range f.Edges {
		edge.PowerOn()
	}
}

// Now is how long the fleet has run.
func (f *Fleet) Now() time.Duration { return time.Since(f.began) }

// Until waits until something is true, and fails the test if it is not within the limit.
func (f *Fleet) Until(limit time.Duration, what string, is func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); !is(); time.Sleep(checkInterval) {
		if !time.Now().Before(end) {
			f.t.Fatalf("at %v: not within %v: %s", f.Now(), limit, what)
		}
	}
}

func (f *Fleet) zone(i int) string { return f.plan.Zones[i%len(f.plan.Zones)] }

// settings are the boot settings of a machine.
func (f *Fleet) settings(node, ip, zone string) *boot.Settings {
	settings := &boot.Settings{
		Node:              node,
		IP:                ip,
		Zone:              zone,
		Zones:             map[string]string{},
		InsidePorts:       boot.PortRange{First: insideFirst, Last: insideLast},
		Limits:            boot.MachineLimits{OpenFiles: boot.DefaultOpenFiles},
		HeartbeatInterval: beatInterval,
		Promises:          f.plan.Promises,
		Bear:              boot.Losses{Machines: (f.plan.Controls - 1) / 2},
		Rules: boot.Rules{
			EmptyOut:    emptyOut,
			Grace:       boot.DefaultGrace,
			RetryRatio:  boot.DefaultRetryRatio,
			RetryWindow: boot.DefaultRetryWindow,
			ExtraTries:  100,
			Lease:       boot.DefaultLease,
		},
	}
	if f.plan.Rules != nil {
		f.plan.Rules(&settings.Rules)
	}
	for _, name := range f.plan.Zones {
		settings.Zones[name] = "region"
	}
	for _, control := range f.Controls {
		settings.Starters = append(settings.Starters, control.Steering())
	}
	return settings
}

// lines is the log of all processes. It is shown where a test fails.
type lines struct {
	began time.Time
	mu    sync.Mutex
	text  []byte
}

// logLimit bounds what is held.
const logLimit = 1 << 20

// Write serves io.Writer.
func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(fmt.Appendf(l.text, "%8.3f ", time.Since(l.began).Seconds()), line...)
	if over := len(l.text) - logLimit; over > 0 {
		l.text = l.text[over:]
	}
	return len(line), nil
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text)
}

func (l *lines) logger(node string) zerolog.Logger {
	return zerolog.New(l).With().Str("node", node).Logger()
}
