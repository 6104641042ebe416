package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports are alike on all machines of a fleet, as on the operators' machines; each machine has a loopback address.
const (
	frontPort   = 8161
	readyPort   = 8167
	controlPort = 8166
	firstInside = 7720
	lastInside  = 7735
	proxyPort   = 4 // of the inside ports: where a proxy tells its status
)

// zones are those of the site dkd-jawa.
var zones = []string{"jkt-a", "sby-b", "smg-c"}

// process is one process of the project under test.
type process struct {
	name   string
	args   []string
	env    string
	folder string

	mu    sync.Mutex
	run   *exec.Cmd
	ended chan struct{}
}

// start begins the process; its output is appended to NAME.log.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	run := exec.Command(p.args[0], p.args[1:]...)
	run.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SUMACLOFT_BOOT=" + p.env}
	run.Stdout, run.Stderr = log, log
	run.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := run.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.run, p.ended = run, ended
	go func() {
		_ = run.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, which the rig started.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil {
		_ = p.run.Process.Signal(signal)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// fleet is a router fleet of processes on loopback addresses.
type fleet struct {
	program  string
	folder   string
	net      string // the first three numbers of the loopback addresses
	controls []*process
	agents   []*process
	proxies  []*process
	workers  []*worker
	once     sync.Once
}

// newFleet lays out a fleet of edges edge machines and three control members, and starts nothing.
func newFleet(program string, edges int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, folder: folder}
	if f.net, err = freeNet(); err != nil {
		return nil, err
	}
	for i := range 3 {
		f.controls = append(f.controls, f.process(fmt.Sprintf("control-%d", i+1), "control"))
	}
	for i := range edges {
		f.agents = append(f.agents, f.process(fmt.Sprintf("edge-%d-agent", i+1), "agent"))
		f.proxies = append(f.proxies, f.process(fmt.Sprintf("edge-%d-proxy", i+1), "proxy"))
	}
	return f, f.writeBoots(true)
}

// freeNet finds a loopback net whose ports nobody uses.
func freeNet() (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 60+i, (os.Getpid()+i)%250)
		free := true
		for _, host := range []int{1, 21, 41} {
			for _, port := range []int{frontPort, readyPort, controlPort, firstInside} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, host, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback net")
}

func (f *fleet) process(name, role string) *process {
	return &process{name: name, args: []string{f.program, role}, env: filepath.Join(f.folder, strings.TrimSuffix(strings.TrimSuffix(name, "-agent"), "-proxy")+".boot"), folder: f.folder}
}

func (f *fleet) controlIP(i int) string { return fmt.Sprintf("%s.%d", f.net, 1+i) }
func (f *fleet) edgeIP(i int) string    { return fmt.Sprintf("%s.%d", f.net, 21+i) }
func (f *fleet) workerIP(i int) string  { return fmt.Sprintf("%s.%d", f.net, 41+i) }

// control is the address of a control member for workers, the operator and applications.
func (f *fleet) control(i int) string { return fmt.Sprintf("%s:%d", f.controlIP(i), controlPort) }

// front is the address of an edge machine for clients.
func (f *fleet) front(i int) string { return fmt.Sprintf("%s:%d", f.edgeIP(i), frontPort) }

// writeBoots writes the boot files of all machines: those of the first start of the whole system, or of a later one.
func (f *fleet) writeBoots(first bool) error {
	var starters []string
	for i := range f.controls {
		starters = append(starters, f.control(i))
	}
	promises := "base,drain,config,cost,retry,recover,split,stream,engine"
	common := fmt.Sprintf("region=jawa\nzones.jkt-a=jawa\nzones.sby-b=jawa\nzones.smg-c=jawa\ninside_ports=%d,%d\nstarters=%s\nfirst_run=%v\n"+
		"heartbeat_ms=1200\npromises=%s\nbear.machines=1\nbear.zones=0\nbear.regions=0\nlimits.cores=1\nlimits.open_files=4100\nlimits.link_mbps=1000\n"+
		"limits_of_rules.starter_delay_s=3\nlimits_of_rules.reuse_after_s=2\nlimits_of_rules.in_touch_ms=3000\nlimits_of_rules.answer_ms=4000\n"+
		"limits_of_rules.catch_up_s=4\nlimits_of_rules.empty_out_ms=2000\nlimits_of_rules.grace_s=8\nlimits_of_rules.loss_slack_ms=200\n"+
		"limits_of_rules.settings_ms=2000\nlimits_of_rules.go_back_ms=250\nlimits_of_rules.stretch_ms=5000\nlimits_of_rules.retry_ratio=0.2\n"+
		"limits_of_rules.retry_window_s=10\nlimits_of_rules.extra_tries=52\nlimits_of_rules.recovery_s=12\nlimits_of_rules.history_s=20\n"+
		"limits_of_rules.release_ms=1500\nlimits_of_rules.transit_ms=120\nlimits_of_rules.again_s=0\nlimits_of_rules.fenced=true\n"+
		"limits_of_rules.lease_ms=3000\nlimits_of_rules.thaw_ms=300\n", firstInside, lastInside, strings.Join(starters, ","), first, promises)
	for i := range f.controls {
		data := filepath.Join(f.folder, fmt.Sprintf("control-%d-data", i+1))
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		text := fmt.Sprintf("node=middle-%d\nrole=control\nmachine_type=middle\nserves=steering\nip=%s\nzone=%s\nlisten_on.control=%s\ncounted=true\n"+
			"limits.cpu_part=0.96\nlimits.memory_mb=280\nlimits.disk_mb=128\ndata_folder=%s\n", i+1, f.controlIP(i), zones[i%len(zones)], f.control(i), data)
		if err := os.WriteFile(filepath.Join(f.folder, fmt.Sprintf("control-%d.boot", i+1)), []byte(text+common), 0o600); err != nil {
			return err
		}
	}
	for i := range f.agents {
		ip := f.edgeIP(i)
		text := fmt.Sprintf("node=edge-%d\nrole=edge\nmachine_type=edge\nserves=edge\nip=%s\nzone=%s\nlisten_on.front=%s:%d\nlisten_on.ready=%s:%d\ncounted=false\n"+
			"limits.cpu_part=0.4\nlimits.memory_mb=284\nlimits.disk_mb=0\n", i+1, ip, zones[i%len(zones)], ip, frontPort, ip, readyPort)
		if err := os.WriteFile(filepath.Join(f.folder, fmt.Sprintf("edge-%d.boot", i+1)), []byte(text+common), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// decisions writes what the first router says of its decisions, for whoever looks for the cause. Nothing is judged by it.
func (f *fleet) decisions(r *record) {
	out, err := exec.Command(f.program, "status", fmt.Sprintf("%s:%d", f.edgeIP(0), firstInside+proxyPort)).CombinedOutput()
	for line := range strings.Lines(string(out)) {
		if strings.Contains(line, service) {
			r.line("status", "edge 1: %s", strings.TrimSpace(line))
		}
	}
	if err != nil {
		r.line("status", "edge 1: %v", err)
	}
}

// all lists the processes of the fleet.
func (f *fleet) all() []*process {
	return append(append(append([]*process(nil), f.controls...), f.agents...), f.proxies...)
}

// start begins all processes; later starts get the boot files of a later start.
func (f *fleet) start() error {
	for _, p := range f.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond)
	return f.writeBoots(false)
}

// end ends all processes, once, and removes the fleet's folder.
func (f *fleet) end() {
	f.once.Do(func() {
		for _, w := range f.workers {
			w.stop()
		}
		for _, p := range f.all() {
			p.kill()
		}
		_ = os.RemoveAll(f.folder)
	})
}

// caller has no connections that are kept: each call is one connection.
var caller = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post makes a call to a control member, one second at most.
func post(address, path, builtOn string, body []byte) (status int, answer []byte, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if builtOn != "" {
		request.Header.Set("X-Built-On", builtOn)
	}
	response, err := caller.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// ready waits until an edge machine calls itself ready.
func (f *fleet) ready(i int, limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		response, err := caller.Get(fmt.Sprintf("http://%s:%d/v1/ready", f.edgeIP(i), readyPort))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("edge %d did not become ready", i+1)
}
