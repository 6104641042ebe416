package fleettest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sumacloft/internal/fleettest/memnet"
)

const (
	// operatorIP is the address of the operator's machine.
	operatorIP = "10.9.0.2"
	// Host is the host that all routes are of.
	Host = "fleet.example"
	// orderWait is how long the operator waits for one answer.
	orderWait = time.Second
)

// The paths of routes, and the services that they lead to.
const (
	HarmlessPath = "/harmless/"
	RiskyPath    = "/risky/"
	StreamPath   = "/stream/"
	PickedPath   = "/picked/" // streams that may be picked up at another worker
	Plain        = "plain"    // service of the first two
	Model        = "model"    // service of streams
)

// Operator is the operator.
type Operator struct {
	fleet   *Fleet
	process *memnet.Process
	http    *http.Client
}

func newOperator(f *Fleet) *Operator {
	process := f.Network.Machine(operatorIP).Process()
	f.ends = append(f.ends, process.Kill)
	return &Operator{fleet: f, process: process, http: clientOn(process, false)}
}

// Document is a whole configuration with all routes and services, and with a route of its own for each name given.
func Document(version uint64, extra ...string) string {
	var routes strings.Builder
	for _, name := range extra {
		routes.WriteString(route(name, "/"+name+"/", "harmless", Plain) + ",")
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s%s,%s,%s,%s],"services":[
		{"name":"plain","health_path":"/health","max_connections":100,"protocol":"h1","tls":false},
		{"name":"model","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"runner":{"capacity":16,
			"memory_tokens":100000,"token_bytes":1000,"link_mbps":10000,"stride":8,"ticket_hold_s":%g,"change_s":%g,
			"models":[{"name":"m"}]}}],
		"limits":{"header_bytes":16384,"body_bytes":1048576,"header_wait_ms":3000,"quiet_ms":15000}}`,
		version, routes.String(),
		route("harmless", HarmlessPath, "harmless", Plain),
		route("risky", RiskyPath, "risky", Plain),
		route("stream", StreamPath, "flowing", Model),
		pickedRoute(),
		ticketHold.Seconds(), changeTime.Seconds())
}

func route(name, path, kind, service string) string {
	return fmt.Sprintf(`{"name":%q,"domain":%q,"path_start":%q,"route_type":%q,"give_up_ms":4000,"target_ms":500,"rank":0,
		"service":%q,"tries":3,"sticky":false,"pick_up":false,"gap_aim_ms":300}`, name, Host, path, kind, service)
}

// pickedRoute is the route of streams that may be picked up.
func pickedRoute() string {
	return strings.Replace(route("picked", PickedPath, "flowing", Model), `"pick_up":false`, `"pick_up":true`, 1)
}

// Replace sends a whole configuration to one member, once; 0 says that no answer came.
func (o *Operator) Replace(at *Control, builtOn uint64, document string) int {
	status, _ := o.call(at, http.MethodPost, "/v1/Settings.Replace", builtOn, document)
	return status
}

// Change sends changes of named items to one member, once; 0 says that no answer came.
func (o *Operator) Change(at *Control, builtOn uint64, change string) int {
	status, _ := o.call(at, http.MethodPost, "/v1/Settings.Change", builtOn, change)
	return status
}

// Read asks one member for the newest configuration.
func (o *Operator) Read(at *Control) (status int, document string) {
	return o.call(at, http.MethodGet, "/v1/Settings.Read", 0, "")
}

// Acknowledge sends a whole configuration to one member after the other until it is acknowledged.
func (o *Operator) Acknowledge(builtOn uint64, document string) {
	o.fleet.t.Helper()
	turn := 0
	o.fleet.Until(ackLimit, "an acknowledgement of the configuration", func() bool {
		turn++
		return o.Replace(o.fleet.Controls[turn%len(o.fleet.Controls)], builtOn, document) == http.StatusOK
	})
}

// ackLimit is how long Acknowledge goes on.
const ackLimit = 15 * time.Second

func (o *Operator) call(at *Control, method, path string, builtOn uint64, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), orderWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at.Steering()+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Header.Set("X-Built-On", strconv.FormatUint(builtOn, 10))
	response, err := o.http.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }() // it was read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// Serve configures the fleet for the first time and waits until all edges work by it and know of all workers.
func (f *Fleet) Serve() {
	f.t.Helper()
	f.Operator.Acknowledge(0, Document(1))
	f.Until(readyLimit, "all edges ready", func() bool {
		for _, edge := range f.Edges {
			if !edge.Ready() {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * beatInterval) // all workers have sent a heartbeat, and the news of it has come to all
}

// readyLimit is how long Serve waits.
const readyLimit = 10 * time.Second
