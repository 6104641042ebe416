package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports, alike on all machines: each machine has a loopback address of its own.
const (
	frontPort, readyPort, controlPort = 8161, 8167, 8166
	firstInside, lastInside           = 7720, 7735
	workerPort                        = 8367
)

// machine is one machine of the fleet, with its processes.
type machine struct {
	name, ip, zone string
	edge           bool
	roles          []string
	processes      []*exec.Cmd
}

// fleet is a small deployment: one control member and one edge router in each of three zones.
type fleet struct {
	stage     *stage
	base      string // first three numbers of all addresses
	machines  []*machine
	controls  []*machine
	edges     []*machine
	promises  string
	steering  []string
	client    *http.Client
	lastBegin time.Duration // when the newest process was started, in the record's time
}

var zones = []string{"jkt-a", "sby-b", "smg-c"}

// newFleet finds free addresses. promises is what the boot files name, as for a small site.
func newFleet(s *stage, promises string) (*fleet, error) {
	f := &fleet{stage: s, promises: promises, client: &http.Client{Timeout: time.Second}}
	for try := range 200 {
		f.base = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200+try)%250)
		if f.free() {
			break
		}
		f.base = ""
	}
	if f.base == "" {
		return nil, errors.New("no free loopback addresses")
	}
	for i, zone := range zones {
		f.controls = append(f.controls, &machine{name: "middle-" + zone + "-1", ip: f.ip(11 + i), zone: zone, roles: []string{"control"}})
		f.edges = append(f.edges, &machine{name: "edge-" + zone + "-1", ip: f.ip(21 + i), zone: zone, edge: true, roles: []string{"agent", "proxy"}})
		f.steering = append(f.steering, fmt.Sprintf("%s:%d", f.ip(11+i), controlPort))
	}
	f.machines = append(append(f.machines, f.controls...), f.edges...)
	return f, nil
}

func (f *fleet) ip(last int) string { return fmt.Sprintf("%s.%d", f.base, last) }

// free tells whether the addresses of all machines can be bound.
func (f *fleet) free() bool {
	for _, last := range []int{11, 12, 13, 21, 22, 23, 31, 32, 33, 34, 35, 36} {
		for _, port := range []int{frontPort, readyPort, controlPort, firstInside, firstInside + 1, firstInside + 2, workerPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(last), port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// boot writes a machine's boot file: the figures are those of the site dkd-jawa.
func (f *fleet) boot(m *machine, role string, first bool) (string, error) {
	lines := []string{
		"node=" + m.name, "ip=" + m.ip, "zone=" + m.zone, "region=jawa",
		"zones.jkt-a=jawa", "zones.sby-b=jawa", "zones.smg-c=jawa",
		fmt.Sprintf("inside_ports=%d,%d", firstInside, lastInside),
		"starters=" + strings.Join(f.steering, ","),
		fmt.Sprintf("first_run=%v", first), fmt.Sprintf("counted=%v", !m.edge),
		"finding=sign_up", "entry=shared_address", "heartbeat_ms=1200", "promises=" + f.promises,
		"bear.machines=1", "bear.zones=0", "bear.regions=0",
		"limits.cores=1", "limits.open_files=4100", "limits.link_mbps=1000.0",
	}
	for name, value := range map[string]string{"starter_delay_s": "3", "reuse_after_s": "2", "in_touch_ms": "3000", "answer_ms": "4000",
		"catch_up_s": "4", "empty_out_ms": "2000", "grace_s": "8", "loss_slack_ms": "200", "settings_ms": "2000", "go_back_ms": "250",
		"stretch_ms": "5000", "retry_ratio": "0.2", "retry_window_s": "10", "extra_tries": "52", "recovery_s": "12", "history_s": "20",
		"release_ms": "1500", "transit_ms": "120", "again_s": "0", "fenced": "true", "lease_ms": "3000", "thaw_ms": "300"} {
		lines = append(lines, "limits_of_rules."+name+"="+value)
	}
	if m.edge {
		lines = append(lines, "role="+role, "machine_type=edge", "serves=edge", "limits.cpu_part=0.4", "limits.memory_mb=284", "limits.disk_mb=0",
			fmt.Sprintf("listen_on.front=%s:%d", m.ip, frontPort), fmt.Sprintf("listen_on.ready=%s:%d", m.ip, readyPort))
	} else {
		data := filepath.Join(f.stage.folder, m.name+"-data")
		if err := os.MkdirAll(data, 0o750); err != nil {
			return "", err
		}
		lines = append(lines, "role="+role, "machine_type=middle", "serves=steering", "limits.cpu_part=0.96", "limits.memory_mb=280",
			"limits.disk_mb=128", "data_folder="+data, fmt.Sprintf("listen_on.control=%s:%d", m.ip, controlPort))
	}
	path := filepath.Join(f.stage.folder, m.name+"-"+role+".boot")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start begins all processes of the machines.
func (f *fleet) start(machines []*machine, first bool) error {
	for _, m := range machines {
		for _, role := range m.roles {
			process, err := f.begin(m, role, first)
			if err != nil {
				return err
			}
			m.processes = append(m.processes, process)
		}
	}
	f.lastBegin = f.stage.record.at()
	f.stage.record.say("all processes of %d machines were started, first_run=%v", len(machines), first)
	return nil
}

// begin begins one process; call it on the main thread, with which the process ends.
func (f *fleet) begin(m *machine, role string, first bool) (*exec.Cmd, error) {
	path, err := f.boot(m, role, first)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(f.stage.folder, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own
	process := exec.Command(f.stage.fleetd, role)
	process.Env = append(os.Environ(), "SUMACLOFT_BOOT="+path)
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return process, process.Start()
}

// kill kills every process of the machines at the same moment and waits for their ends.
func (f *fleet) kill(machines []*machine) {
	for _, m := range machines {
		for _, process := range m.processes {
			_ = process.Process.Kill()
		}
	}
	for _, m := range machines {
		for _, process := range m.processes {
			_ = process.Wait() // it was killed
		}
		m.processes = nil
	}
}

// call makes one call with a JSON body to a control member's steering address and returns status and body.
func (f *fleet) call(ctx context.Context, address, method, path, body string, headers ...string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	answer, err := f.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode, string(text), err
}

// configure sends the configuration until it is acknowledged.
func (f *fleet) configure(ctx context.Context, document string) error {
	for turn := 0; ; turn++ {
		status, _, err := f.call(ctx, f.steering[turn%len(f.steering)], http.MethodPost, "/v1/Settings.Replace", document, "X-Built-On", "0")
		if err == nil && status == http.StatusOK {
			f.stage.record.say("the configuration was acknowledged")
			return nil
		}
		if !pause(ctx, 100*time.Millisecond) {
			return errors.New("the configuration was not acknowledged")
		}
	}
}

// awaitReady waits until all edge routers call themselves ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, edge := range f.edges {
		for {
			status, _, err := f.call(ctx, fmt.Sprintf("%s:%d", edge.ip, readyPort), http.MethodGet, "/v1/ready", "")
			if err == nil && status == http.StatusOK {
				break
			}
			if !pause(ctx, 50*time.Millisecond) {
				return errors.New("the edge routers did not become ready")
			}
		}
	}
	return nil
}

// pause waits; false says that the context has ended.
func pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}
