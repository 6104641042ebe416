package overloadtest

import (
	"strings"
	"testing"
)

// lines is how many bytes of short lines fit into a head of header_bytes beside its other fields.
const lines = 15 << 10

// Guards against room that is made for bodies by what they announce.
func TestFrontHoldsAnnouncedBodiesThatStopShort(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.request, crowd{60, f.front(), same(in(announced(host, busyPath+"size", bodyBytes), zeros(bodyBytes-1)))})
}

// Guards against chunked bodies of which each is allowed, and which nothing counts together.
func TestFrontHoldsChunkedBodiesThatDoNotEnd(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.request, crowd{60, f.front(), same(in(chunked(host, busyPath+"size"), chunks(bodyBytes-(64<<10), 64<<10)))})
}

func TestFrontHoldsBodiesInOneByteChunks(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.request, crowd{60, f.front(), same(in(chunked(host, busyPath+"size"), chunks(2<<20, 1)))})
}

// Guards against bodies whose bytes come too seldom to end and too often to be given up for silence.
func TestFrontHoldsBodiesThatDrip(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.request, crowd{60, f.front(), same(in(announced(host, busyPath+"size", bodyBytes), zeros(2<<20), drip))})
}

func TestFrontHoldsBodiesOverTheLimit(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.request,
		crowd{40, f.front(), same(in(announced(host, busyPath+"size", 4*bodyBytes), zeros(4*bodyBytes-1)))},
		crowd{40, f.front(), same(in(chunked(host, busyPath+"size"), chunks(4*bodyBytes, 64<<10)))})
}

// Guards against whole bodies that wait for a worker, or are held by one, and that nothing counts.
func TestFrontHoldsWholeBodiesThatWait(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.request, crowd{100, f.front(), same(in(announced(host, busyPath+"hold", bodyBytes), zeros(bodyBytes)))})
}

// Guards against heads that are small on the wire and many times as large once they are read.
func TestFrontHoldsHeadsOfShortLines(t *testing.T) {
	for name, send := range map[string]client{
		"own names, ended":       in(head("POST", host, busyPath+"hold", "Content-Length: 1"), ownNames(lines), headEnd),
		"own names, not ended":   in(head("GET", host, busyPath+"hold"), ownNames(lines)),
		"alike, ended":           in(head("POST", host, busyPath+"hold", "Content-Length: 1"), sameNames(lines), headEnd),
		"alike, not ended":       in(head("GET", host, busyPath+"hold"), sameNames(lines)),
		"own names, no such way": in(head("POST", host, "/none", "Content-Length: 1"), ownNames(lines), headEnd),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.withstand(f.request, crowd{300, f.front(), same(send)})
		})
	}
}

// Guards against connections that nothing limits: they take the descriptors, and each has its buffers.
func TestFrontHoldsSilentConnections(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.request, crowd{2 * openFiles, f.front(), same(silent)})
}

func TestFrontHoldsPipelinedRequests(t *testing.T) {
	f := newFleet(t)
	one := "GET " + busyPath + "well HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: 1f\r\n\r\n"
	f.withstand(f.request, crowd{60, f.front(), same(text("%s", strings.Repeat(one, 60)))})
}

// Guards against answers of workers that are held whole for clients that do not read them.
func TestFrontHoldsAnswersThatNobodyReads(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.request, crowd{40, f.front(), same(in(head("GET", host, busyPath+"large"), headEnd))})
}

// Guards against memory that a crowd leaves behind: what the next one takes would come on top.
func TestFrontHoldsOneCrowdAfterAnother(t *testing.T) {
	f := newFleet(t)
	for _, crowd := range []crowd{
		{40, f.front(), same(in(announced(host, busyPath+"size", bodyBytes), zeros(bodyBytes-1)))},
		{40, f.front(), same(in(chunked(host, busyPath+"size"), chunks(bodyBytes-(64<<10), 64<<10)))},
		{100, f.front(), same(in(head("POST", host, busyPath+"hold", "Content-Length: 1"), ownNames(lines), headEnd))},
		{20, f.front(), same(in(head("GET", host, busyPath+"large"), headEnd))},
		{openFiles, f.front(), same(silent)},
		{40, f.front(), same(in(announced(host, busyPath+"size", bodyBytes), zeros(bodyBytes-1)))},
	} {
		f.withstand(f.request, crowd)
	}
}

func TestFrontHoldsAllKindsAtOnce(t *testing.T) {
	f := newFleet(t)
	f.withstand(f.request,
		crowd{30, f.front(), same(in(announced(host, busyPath+"size", bodyBytes), zeros(bodyBytes-1)))},
		crowd{30, f.front(), same(in(chunked(host, busyPath+"size"), chunks(bodyBytes-(64<<10), 64<<10)))},
		crowd{10, f.front(), same(in(chunked(host, busyPath+"size"), chunks(1<<20, 1)))},
		crowd{30, f.front(), same(in(announced(host, busyPath+"hold", bodyBytes), zeros(bodyBytes)))},
		crowd{10, f.front(), same(in(announced(host, busyPath+"size", 4*bodyBytes), zeros(4*bodyBytes)))},
		crowd{60, f.front(), same(in(head("POST", host, busyPath+"hold", "Content-Length: 1"), ownNames(lines), headEnd))},
		crowd{20, f.front(), same(in(head("GET", host, busyPath+"large"), headEnd))},
		crowd{openFiles / 2, f.front(), same(silent)},
		crowd{20, f.ready(), same(in(head("GET", "ready", "/v1/ready"), ownNames(900<<10)))})
}
