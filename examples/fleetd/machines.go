package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"sumacloft/internal/mesh/membership"
)

// The ports, alike on all machines: each has a loopback address of its own.
const (
	frontPort     = 8000
	readyPort     = 8001
	steeringPort  = 8002
	workerPort    = 8000
	firstInside   = 7700
	lastInside    = 7709
	controlInside = firstInside + membership.PortControl
	agentInside   = firstInside + membership.PortAgent
	proxyInside   = firstInside + membership.PortProxy
)

// machine is one machine of the fleet.
type machine struct {
	Name string
	IP   string
	Zone string
	Edge bool // or else a control member
}

// controls and edges are the machines of the demo.
var (
	controls = []machine{
		{Name: "control-1", IP: "127.0.0.11", Zone: "north"},
		{Name: "control-2", IP: "127.0.0.12", Zone: "north"},
		{Name: "control-3", IP: "127.0.0.13", Zone: "south"},
	}
	edges = []machine{
		{Name: "edge-1", IP: "127.0.0.21", Zone: "north", Edge: true},
		{Name: "edge-2", IP: "127.0.0.22", Zone: "south", Edge: true},
	}
)

// address is a port of the machine.
func (m machine) address(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// Front, Ready and Steering are where the machine listens for callers from outside.
func (m machine) Front() string    { return m.address(frontPort) }
func (m machine) Ready() string    { return m.address(readyPort) }
func (m machine) Steering() string { return m.address(steeringPort) }

// inside is where the machine's control member or agent is asked for its status.
func (m machine) inside() string {
	if m.Edge {
		return m.address(agentInside)
	}
	return m.address(controlInside)
}

// steering lists where workers and the operator reach the control members.
func steering() []string {
	addresses := make([]string, 0, len(controls))
	for _, control := range controls {
		addresses = append(addresses, control.Steering())
	}
	return addresses
}

// bootText is a machine's boot file.
var bootText = template.Must(template.New("boot").Parse(`node={{.Name}}
ip={{.IP}}
zone={{.Zone}}
region=here
zones.north=here
zones.south=here
inside_ports={{.First}},{{.Last}}
starters={{.Starters}}
first_run=true
heartbeat_ms=1000
promises=coord
bear.machines=1
limits.memory_mb=300
{{if .Edge -}}
role=edge
machine_type=edge
serves=edge
listen_on.front={{.Front}}
listen_on.ready={{.Ready}}
{{else -}}
role=control
machine_type=middle
serves=steering
listen_on.control={{.Steering}}
limits.disk_mb=64
data_folder={{.Data}}
{{end -}}
`))

// bootValues fill in bootText.
type bootValues struct {
	machine
	First, Last int
	Starters    string
	Data        string
}

// writeBoot writes a machine's boot file into the folder and gives its path.
func writeBoot(folder string, m machine) (string, error) {
	values := bootValues{
		machine:  m,
		First:    firstInside,
		Last:     lastInside,
		Starters: strings.Join(steering(), ","),
		Data:     filepath.Join(folder, m.Name+"-data"),
	}
	if !m.Edge {
		if err := os.MkdirAll(values.Data, 0o750); err != nil {
			return "", demoError.Wrap(err)
		}
	}
	var text strings.Builder
	if err := bootText.Execute(&text, values); err != nil {
		return "", demoError.Wrap(err)
	}
	path := filepath.Join(folder, m.Name+".boot")
	return path, demoError.Wrap(os.WriteFile(path, []byte(text.String()), 0o600))
}
