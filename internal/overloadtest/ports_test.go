package overloadtest

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/mesh/message"
	"sumacloft/internal/status"
	"sumacloft/internal/workerwire"
)

// largeHead is just under the size of a head that net/http takes where nothing else is set.
const largeHead = 900 << 10

// orderPath takes the largest bodies of a control member.
const orderPath = "/v1/Settings.Replace"

func TestSteeringHoldsOrdersThatStopShort(t *testing.T) {
	for name, send := range map[string]client{
		"announced": in(announced("control", orderPath, bodyBytes), zeros(bodyBytes-1)),
		"chunked":   in(chunked("control", orderPath), chunks(bodyBytes-(64<<10), 64<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.withstand(f.order, crowd{60, f.steering(), same(send)})
		})
	}
}

// Guards against calls whose body stops short, of paths other than those of orders.
func TestSteeringHoldsShortCallsThatStopShort(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.order, crowd{2 * openFiles, f.steering(), same(in(announced("control", "/v1/Servers.Beat/w", 64<<10), zeros(64<<10-1)))})
}

func TestSteeringHoldsLargeHeads(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.order, crowd{60, f.steering(), same(in(head("GET", "control", "/v1/Settings.Read"), ownNames(largeHead)))})
}

// Guards against large answers that are held for callers that do not read them.
func TestSteeringHoldsAnswersThatNobodyReads(t *testing.T) {
	f := newFleet(t)
	f.await("a large configuration to be taken", func() error { return f.sendLargeConfiguration(bodyBytes - (64 << 10)) })
	f.withstandBeside(f.order, f.laterRequest, crowd{60, f.steering(), same(in(head("GET", "control", "/v1/Settings.Read"), headEnd))})
}

func TestSteeringHoldsSilentConnections(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.order, crowd{2 * openFiles, f.steering(), same(silent)})
}

// Guards against heartbeats of very many workers that nobody runs.
func TestSteeringHoldsHeartbeatsOfManyWorkers(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.order, crowd{40, f.steering(), heartbeats})
}

// heartbeats sends large heartbeats of twenty workers.
func heartbeats(number int) client {
	var all []client
	for worker := range 20 {
		body, err := json.Marshal(workerwire.Heartbeat{Service: "busy", Address: fmt.Sprintf("127.0.0.9:%d", 1000+worker), Zone: "north",
			Version: strings.Repeat("v", 60<<10), Capacity: 1, State: "up", CallCount: 1})
		if err != nil {
			panic(err) // a plain struct can always be encoded
		}
		path := fmt.Sprintf("/v1/Servers.Beat/crowd-%d-%d", number, worker)
		all = append(all, in(announced("control", path, len(body)), text("%s", body)))
	}
	return in(all...)
}

func TestReadyPortHoldsLargeHeads(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.isReady, crowd{60, f.ready(), same(in(head("GET", "ready", "/v1/ready"), ownNames(largeHead)))})
}

func TestReadyPortHoldsSilentConnections(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.isReady, crowd{2 * openFiles, f.ready(), same(silent)})
}

func TestReadyPortHoldsBodiesThatStopShort(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.isReady, crowd{2 * openFiles, f.ready(), same(in(announced("ready", "/v1/ready", bodyBytes), zeros(bodyBytes-1)))})
}

// insidePorts are the ports for calls between the system's processes, each with a path that takes a body.
func (f *fleet) insidePorts() map[string]string {
	return map[string]string{"control": f.controlInside(), "agent": f.agentInside(), "feed": f.feed(), "proxy": f.proxyInside()}
}

// insidePaths are paths with a body at the inside ports.
var insidePaths = map[string]string{
	"control": string(message.CallSync),
	"agent":   string(message.CallSync),
	"feed":    string(message.CallWatch),
	"proxy":   string(status.CallLog),
}

func TestInsidePortsHoldLargeHeads(t *testing.T) {
	for name, path := range insidePaths {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.withstand(f.request, crowd{60, f.insidePorts()[name], same(in(head("POST", "inside", path), ownNames(largeHead)))})
		})
	}
}

func TestInsidePortsHoldBodiesThatStopShort(t *testing.T) {
	for name, path := range insidePaths {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.withstand(f.request,
				crowd{30, f.insidePorts()[name], same(in(announced("inside", path, bodyBytes), zeros(bodyBytes-1)))},
				crowd{30, f.insidePorts()[name], same(in(chunked("inside", path), chunks(4*bodyBytes, 64<<10)))})
		})
	}
}

// Guards against answers with the whole configuration, each encoded anew, for callers that do not read them.
func TestInsidePortsHoldAnswersThatNobodyReads(t *testing.T) {
	for name, call := range map[string]struct {
		path    string
		request any
	}{
		"control": {string(message.CallRead), &message.Read{}},
		"agent":   {string(message.CallSync), &message.Sync{}},
		"feed":    {string(message.CallWatch), &message.Watch{}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.await("a large configuration to be taken", func() error { return f.sendLargeConfiguration(bodyBytes - (64 << 10)) })
			body, err := cbor.Marshal(call.request)
			f.c.Assert(err, qt.IsNil)
			f.withstandBeside(f.laterRequest, f.laterRequest, crowd{60, f.insidePorts()[name], same(in(announced("inside", call.path, len(body)), text("%s", body)))})
		})
	}
}

func TestInsidePortsHoldSilentConnections(t *testing.T) {
	for name := range insidePaths {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.withstand(f.request, crowd{2 * openFiles, f.insidePorts()[name], same(silent)})
		})
	}
}

// Guards against datagrams that claim to come from very many proxies.
func TestHintsHoldDatagramsOfManySenders(t *testing.T) {
	const senders, tokens = 40_000, 120
	f := newFleet(t)
	conn, err := net.Dial("udp", f.hints())
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(func() { _ = conn.Close() })
	counts := map[uint64]uint32{}
	for engine := range uint64(tokens) {
		counts[engine<<40] = 1
	}
	for sender := range senders {
		datagram, err := cbor.Marshal(map[int]any{1: fmt.Sprintf("10.%d.%d.%d", sender>>16, sender>>8&255, sender&255), 2: 1, 3: counts})
		f.c.Assert(err, qt.IsNil)
		_, err = conn.Write(datagram)
		f.c.Assert(err, qt.IsNil)
	}
	f.await("an ordinary request after the datagrams", f.request)
	f.check()
}

// Guards against memory that a crowd leaves behind: what the next one takes would come on top.
func TestPortsHoldOneCrowdAfterAnother(t *testing.T) {
	f := newFleet(t)
	crowds := []crowd{
		{40, f.steering(), same(in(announced("control", orderPath, bodyBytes), zeros(bodyBytes-1)))},
		{40, f.steering(), same(in(head("GET", "control", "/v1/Settings.Read"), ownNames(largeHead)))},
		{openFiles, f.steering(), same(silent)},
		{40, f.ready(), same(in(head("GET", "ready", "/v1/ready"), ownNames(largeHead)))},
	}
	for _, name := range []string{"control", "agent", "feed", "proxy"} {
		crowds = append(crowds,
			crowd{20, f.insidePorts()[name], same(in(chunked("inside", insidePaths[name]), chunks(4*bodyBytes, 64<<10)))},
			crowd{20, f.insidePorts()[name], same(in(head("POST", "inside", insidePaths[name]), ownNames(largeHead)))})
	}
	for _, crowd := range crowds {
		f.withstand(f.order, crowd)
	}
}

func TestAllPortsHoldAllKindsAtOnce(t *testing.T) {
	f := newFleet(t)
	crowds := []crowd{
		{20, f.steering(), same(in(announced("control", orderPath, bodyBytes), zeros(bodyBytes-1)))},
		{20, f.steering(), same(in(chunked("control", orderPath), chunks(bodyBytes-(64<<10), 64<<10)))},
		{20, f.steering(), same(in(head("GET", "control", "/v1/Settings.Read"), ownNames(largeHead)))},
		{openFiles, f.steering(), same(silent)},
		{30, f.front(), same(in(announced(host, busyPath+"size", bodyBytes), zeros(bodyBytes-1)))},
		{60, f.front(), same(in(head("POST", host, busyPath+"hold", "Content-Length: 1"), ownNames(lines), headEnd))},
		{20, f.ready(), same(in(head("GET", "ready", "/v1/ready"), ownNames(largeHead)))},
	}
	for name, path := range insidePaths {
		crowds = append(crowds,
			crowd{10, f.insidePorts()[name], same(in(head("POST", "inside", path), ownNames(largeHead)))},
			crowd{10, f.insidePorts()[name], same(in(chunked("inside", path), chunks(4*bodyBytes, 64<<10)))})
	}
	f.withstand(f.order, crowds...)
}
