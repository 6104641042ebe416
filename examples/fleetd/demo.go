package main

import (
	"bufio"
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"

	"sumacloft/internal/boot"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/status"
)

//go:embed configuration.json
var configuration []byte

// What the demo's client asks.
const (
	demoHost    = "demo.example"
	demoPath    = "/v1/completions/"
	demoService = "demo-model"
	promptSize  = 400 // tokens
	answerSize  = 12  // tokens
)

const (
	// readyLimit bounds how long the fleet may take to serve.
	readyLimit = 20 * time.Second
	// pollInterval is how often the demo looks whether it does.
	pollInterval = 100 * time.Millisecond
	// callLimit bounds one call.
	callLimit = time.Second
	// requestLimit bounds the streamed request.
	requestLimit = 10 * time.Second
)

// worker is a stand-in worker of the demo.
type worker struct{ name, address, zone, phase string }

var workers = []worker{
	{name: "worker-1", address: "127.0.0.31", zone: "north", phase: phaseReading},
	{name: "worker-2", address: "127.0.0.32", zone: "south", phase: phaseReading},
	{name: "worker-3", address: "127.0.0.33", zone: "north", phase: phaseWriting},
	{name: "worker-4", address: "127.0.0.34", zone: "south", phase: phaseWriting},
}

// demo is the fleet and what is done with it.
type demo struct {
	fleetd string
	folder string
	out    io.Writer
	stays  bool // until the context ends
	// in the order in which they are to end
	workers, edges, controls []*child
}

// say tells who watches.
func (d *demo) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", arguments...) // nobody watches: the demo goes on
}

// run starts the fleet and uses it.
func (d *demo) run(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		d.startControls, d.sendConfiguration, d.startEdges, d.startWorkers, d.awaitReady, d.ask, d.showStatus,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if d.stays {
		d.say("\nThe fleet stays until Ctrl-C. Its control members: %s", strings.Join(steering(), ","))
		<-ctx.Done()
	}
	return nil
}

// end ends all processes: workers first, which leave in order, then the edge routers, then the control members.
func (d *demo) end() {
	for _, children := range [][]*child{d.workers, d.edges, d.controls} {
		for _, told := range endAll(children) {
			d.say("%s", told)
		}
	}
}

// begin starts one fleetd process on a machine.
func (d *demo) begin(m machine, role, path string) (*child, error) {
	c, err := start(d.folder, m.Name+"-"+role, []string{boot.PathVariable + "=" + path}, d.fleetd, role)
	if err == nil {
		d.say("%s: %s is process %d on %s", m.Name, role, c.pid(), m.IP)
	}
	return c, err
}

func (d *demo) startControls(context.Context) error {
	for _, m := range controls {
		path, err := writeBoot(d.folder, m)
		if err != nil {
			return err
		}
		c, err := d.begin(m, "control", path)
		if err != nil {
			return err
		}
		d.controls = append(d.controls, c)
	}
	return nil
}

func (d *demo) startEdges(context.Context) error {
	for _, m := range edges {
		path, err := writeBoot(d.folder, m)
		if err != nil {
			return err
		}
		for _, role := range []string{"agent", "proxy"} {
			c, err := d.begin(m, role, path)
			if err != nil {
				return err
			}
			d.edges = append(d.edges, c)
		}
	}
	return nil
}

func (d *demo) startWorkers(context.Context) error {
	own, err := os.Executable()
	if err != nil {
		return demoError.Wrap(err)
	}
	for _, w := range workers {
		address := fmt.Sprintf("%s:%d", w.address, workerPort)
		c, err := start(d.folder, w.name, nil, own, "worker", "--id", w.name, "--service", demoService, "--address", address,
			"--zone", w.zone, "--phase", w.phase, "--steering", strings.Join(steering(), ","))
		if err != nil {
			return err
		}
		d.say("%s: a %s worker is process %d on %s", w.name, w.phase, c.pid(), w.address)
		d.workers = append(d.workers, c)
	}
	return nil
}

// sendConfiguration sends the configuration to one control member after the other until it is acknowledged.
func (d *demo) sendConfiguration(ctx context.Context) error {
	turn := 0
	return until(ctx, "a control member to take the configuration", func(ctx context.Context) error {
		control := controls[turn%len(controls)]
		turn++
		url := "http://" + control.Steering() + "/v1/Settings.Replace"
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(configuration))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("X-Built-On", "0")
		if err := expectOK(request); err != nil {
			return err
		}
		d.say("%s took the configuration", control.Name)
		return nil
	})
}

// awaitReady waits until both edge routers serve and know all workers.
func (d *demo) awaitReady(ctx context.Context) error {
	client := rpc.NewClient(network.System{})
	for _, edge := range edges {
		err := until(ctx, edge.Name+" to be ready", func(ctx context.Context) error {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+edge.Ready()+"/v1/ready", nil)
			if err != nil {
				return err
			}
			if err := expectOK(request); err != nil {
				return err
			}
			report, err := status.CallStatus.Call(ctx, client, edge.inside(), &status.Request{})
			if err != nil {
				return err
			}
			return knowsAll(report)
		})
		if err != nil {
			return err
		}
		d.say("%s is ready", edge.Name)
	}
	return nil
}

// knowsAll tells whether a report counts all of the demo's workers.
func knowsAll(report *status.Report) error {
	up := 0
	for _, kind := range report.Workers {
		up += kind.Up
	}
	if up < len(workers) {
		return demoError.New("%d of %d workers are known", up, len(workers))
	}
	return nil
}

// ask sends one request through the first edge router and shows its answer as it comes.
func (d *demo) ask(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edges[0].Front()+demoPath, strings.NewReader("tell me of routers"))
	if err != nil {
		return demoError.Wrap(err)
	}
	request.Host = demoHost
	request.Header.Set("X-Request-Id", "demo-request-1")
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Count", fmt.Sprintf("%d,%d", promptSize, answerSize))
	request.Header.Set("X-Prompt-Start", fmt.Sprintf("5c1e07a2:%d,91bd3f06:%d", promptSize/2, promptSize/2))
	request.Header.Set("X-Time-Left", fmt.Sprint(requestLimit.Milliseconds()))
	began := time.Now()
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return demoError.Wrap(err)
	}
	defer func() { _ = answer.Body.Close() }() // it was read
	d.say("\n%s answers POST %s%s with %s, by worker %s:", edges[0].Name, demoHost, demoPath, answer.Status, answer.Header.Get(headerServerID))
	lines := bufio.NewScanner(answer.Body)
	events := 0
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "data: "); found {
			events++
			d.say("  %4d ms  event %2d: %s", time.Since(began).Milliseconds(), events, text)
		}
	}
	if answer.StatusCode != http.StatusOK || events != answerSize {
		return demoError.New("the answer has status %d and %d events instead of %d", answer.StatusCode, events, answerSize)
	}
	return demoError.Wrap(lines.Err())
}

// showStatus shows what operators see.
func (d *demo) showStatus(ctx context.Context) error {
	for _, m := range []machine{controls[0], edges[1]} {
		d.say("\n$ fleetd status %s", m.inside())
		if err := d.command(ctx, "status", m.inside()); err != nil {
			return err
		}
	}
	proxy := edges[0].address(proxyInside)
	d.say("\n$ fleetd log %s", proxy)
	if err := d.command(ctx, "log", proxy); err != nil {
		return err
	}
	d.say("")
	return nil
}

// command runs a command of operators.
func (d *demo) command(ctx context.Context, arguments ...string) error {
	run := exec.CommandContext(ctx, d.fleetd, arguments...)
	run.Stdout, run.Stderr = d.out, d.out
	return demoError.Wrap(run.Run())
}

// until tries until it succeeds, at most for readyLimit.
func until(ctx context.Context, what string, try func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		one, done := context.WithTimeout(ctx, callLimit)
		err := try(one)
		done()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return demoError.New("waited in vain for %s: %w", what, err)
		case <-time.After(pollInterval):
		}
	}
}

// expectOK makes a call whose answer's body does not matter.
func expectOK(request *http.Request) error {
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	text, _ := io.ReadAll(answer.Body) // it only explains a failure
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return demoError.New("%s: status %d %s", request.URL, answer.StatusCode, text)
	}
	return nil
}
