// Package overloadtest starts real processes on loopback addresses and lets crowds of clients misbehave at each of their
// ports. It checks what does not depend on the machine's speed: that the processes live, that their memory and descriptors
// stay within the limits of the boot file, and that an ordinary request is answered while the crowd is there and afterwards.
package overloadtest

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/mesh/membership"
)

// The limits of the machines. They are lower than those of real machines, so that small crowds suffice.
const (
	memoryMB  = 96
	openFiles = 400
)

// The limits of the configuration, as the deployments have them.
const (
	headerBytes  = 16 << 10
	bodyBytes    = 4 << 20
	headerWaitMS = 3000
	quietMS      = 15000
)

// The ports are alike on all machines; each machine has a loopback address of its own.
const (
	frontPort    = 8000
	readyPort    = 8001
	steeringPort = 8002
	firstInside  = 7700
	lastInside   = 7709
	busyPort     = 8000 // of the worker of crowds
	calmPort     = 8001 // of the worker of ordinary requests
)

const (
	host     = "crowd.example"
	busyPath = "/busy/" // a service whose worker does what the path says
	calmPath = "/calm/" // a service for ordinary requests
	// laterPath leads to the same service by the large configuration.
	laterPath = "/later/"

	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	callTimeout  = 10 * time.Second
)

const configuration = `{"version":1,"routes":[
{"name":"busy","domain":"%[1]s","path_start":"%[2]s","route_type":"harmless","give_up_ms":8000,"target_ms":500,"rank":0,"service":"busy","tries":2},
{"name":"calm","domain":"%[1]s","path_start":"%[3]s","route_type":"harmless","give_up_ms":8000,"target_ms":500,"rank":0,"service":"calm","tries":2}],
"services":[{"name":"busy","health_path":"/health","max_connections":64},{"name":"calm","health_path":"/health","max_connections":64}],
"limits":{"header_bytes":%[4]d,"body_bytes":%[5]d,"header_wait_ms":%[6]d,"quiet_ms":%[7]d}}`

// bootFile is what the boot files of all machines have in common.
const bootFile = `node=%[1]s
ip=%[2]s
zone=north
region=here
zones.north=here
inside_ports=%[3]d,%[4]d
starters=%[5]s
first_run=true
heartbeat_ms=500
promises=coord
bear.machines=0
limits.memory_mb=%[6]d
limits.open_files=%[7]d
`

// fleet is a control member, and an edge machine with its agent and its proxy, before two workers of the test itself.
type fleet struct {
	c                     *qt.C
	folder                string
	network               string // the first three octets of all addresses
	control, agent, proxy *process
	workers               *workers
}

// newFleet starts a fleet and waits until it serves. It ends with the test.
func newFleet(t *testing.T) *fleet {
	c := qt.New(t)
	f := &fleet{c: c, folder: t.TempDir(), network: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))}
	f.control = f.start("control", "control", f.controlBoot())
	c.Cleanup(func() { f.control.end(c) })
	f.workers = startWorkers(c, f)
	f.await("the configuration to be taken", f.sendConfiguration)
	edge := f.edgeBoot()
	f.agent = f.start("agent", "agent", edge)
	c.Cleanup(func() { f.agent.end(c) })
	f.proxy = f.start("proxy", "proxy", edge)
	c.Cleanup(func() { f.proxy.end(c) })
	f.await("an ordinary request to be answered", f.request)
	return f
}

// address is a port of a machine: 1 is the control member's, 2 the edge's, 3 the workers'.
func (f *fleet) address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.network, machine, port)
}

func (f *fleet) front() string    { return f.address(2, frontPort) }
func (f *fleet) ready() string    { return f.address(2, readyPort) }
func (f *fleet) steering() string { return f.address(1, steeringPort) }

// The inside ports. All are on addresses that other machines reach, as those are loopback addresses here.
func (f *fleet) controlInside() string { return f.address(1, firstInside+membership.PortControl) }
func (f *fleet) agentInside() string   { return f.address(2, firstInside+membership.PortAgent) }
func (f *fleet) feed() string          { return f.address(2, firstInside+membership.PortFeed) }
func (f *fleet) proxyInside() string   { return f.address(2, firstInside+membership.PortProxy) }
func (f *fleet) hints() string         { return f.address(2, firstInside+membership.PortHints) }

func (f *fleet) controlBoot() string {
	data := filepath.Join(f.folder, "data")
	f.c.Assert(os.Mkdir(data, 0o750), qt.IsNil)
	return f.bootFile("control", 1, fmt.Sprintf("role=control\nmachine_type=middle\nserves=steering\nlisten_on.control=%s\n"+
		"limits.disk_mb=64\ndata_folder=%s\n", f.steering(), data))
}

func (f *fleet) edgeBoot() string {
	return f.bootFile("edge", 2, fmt.Sprintf("role=edge\nmachine_type=edge\nserves=edge\nlisten_on.front=%s\nlisten_on.ready=%s\n",
		f.front(), f.ready()))
}

func (f *fleet) bootFile(name string, machine int, more string) string {
	text := fmt.Sprintf(bootFile, name, fmt.Sprintf("%s.%d", f.network, machine), firstInside, lastInside, f.steering(), memoryMB, openFiles)
	path := filepath.Join(f.folder, name+".boot")
	f.c.Assert(os.WriteFile(path, []byte(text+more), 0o600), qt.IsNil)
	return path
}

func (f *fleet) sendConfiguration() error {
	text := fmt.Sprintf(configuration, host, busyPath, calmPath, headerBytes, bodyBytes, headerWaitMS, quietMS)
	return f.post("http://"+f.steering()+"/v1/Settings.Replace", "", []byte(text))
}

// sendLargeConfiguration changes the configuration to one of about so many bytes, with laterPath in the place of calmPath.
func (f *fleet) sendLargeConfiguration(size int) error {
	text := fmt.Sprintf(configuration, host, busyPath, calmPath, headerBytes, bodyBytes, headerWaitMS, quietMS)
	text = strings.Replace(text, `{"version":1,`, `{"version":2,"note":"`+strings.Repeat("n", size)+`",`, 1)
	text = strings.Replace(text, `"path_start":"`+calmPath+`"`, `"path_start":"`+laterPath+`"`, 1)
	return f.call(http.MethodPost, "http://"+f.steering()+"/v1/Settings.Replace", "", []byte(text), 1)
}

// request makes an ordinary request of a client.
func (f *fleet) request() error {
	return f.post("http://"+f.front()+calmPath+"echo", host, []byte("an ordinary request"))
}

// laterRequest makes an ordinary request on a route of the large configuration.
func (f *fleet) laterRequest() error {
	return f.post("http://"+f.front()+laterPath+"echo", host, []byte("an ordinary request"))
}

// order makes an ordinary call of a worker to the control member.
func (f *fleet) order() error {
	return f.workers.beat(f, "calm", calmPort)
}

// isReady asks the edge machine whether it takes clients.
func (f *fleet) isReady() error {
	return f.call(http.MethodGet, "http://"+f.ready()+"/v1/ready", "", nil, 0)
}

func (f *fleet) post(url, host string, body []byte) error {
	return f.call(http.MethodPost, url, host, body, 0)
}

// call makes one call on a connection of its own; builtOn is for orders. Any answer but 200 is an error.
func (f *fleet) call(method, url, host string, body []byte, builtOn int) error {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Host = host
	request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set("X-Built-On", strconv.Itoa(builtOn))
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }() // it was read
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: status %d: %.200s", url, answer.StatusCode, text)
	}
	return err
}

// await tries until it succeeds, within startTimeout. It is how an ordinary caller behaves: one that is refused tries again.
func (f *fleet) await(what string, try func() error) {
	f.c.Helper()
	var err error
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if err = try(); err == nil {
			return
		}
	}
	f.c.Fatalf("waited for %s: %v", what, err)
}

// check fails the test if a process has ended or left its machine's limits. Both processes of the edge share its memory.
func (f *fleet) check() {
	f.c.Helper()
	controlPeak, agentPeak, proxyPeak := f.control.peakMB(f.c), f.agent.peakMB(f.c), f.proxy.peakMB(f.c)
	f.c.Logf("peak memory in MB: control %d, agent %d, proxy %d; descriptors: %d, %d, %d", controlPeak, agentPeak, proxyPeak,
		f.control.peakDescriptors(), f.agent.peakDescriptors(), f.proxy.peakDescriptors())
	f.c.Check(controlPeak <= memoryMB, qt.IsTrue, qt.Commentf("the control member held %d MB of %d", controlPeak, memoryMB))
	f.c.Check(agentPeak+proxyPeak <= memoryMB, qt.IsTrue, qt.Commentf("the edge machine held %d MB of %d", agentPeak+proxyPeak, memoryMB))
	for _, p := range []*process{f.control, f.agent, f.proxy} {
		f.c.Check(p.alive(), qt.IsTrue, qt.Commentf("%s has ended", p.name))
		f.c.Check(p.peakDescriptors() <= openFiles, qt.IsTrue, qt.Commentf("%s held %d descriptors", p.name, p.peakDescriptors()))
	}
}
