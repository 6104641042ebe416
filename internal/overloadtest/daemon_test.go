package overloadtest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The smallest machine of the program in service.
const (
	daemonMemoryMB = 32
	daemonSockets  = 256
	// daemonBody is the largest body that it takes.
	daemonBody = 256 << 10
)

// chatPath takes chat requests.
const chatPath = "/v1/chat/completions"

const operatorFile = `listen = "%[1]s"
[limits]
memory_mb = %[2]d
sockets = %[3]d
[chat]
unknown = "reject"
[[chat.class]]
name = "m"
models = ["m"]
effect = "safe"
aim_ms = 1500
deadline_ms = 6000
worth = 1
[[chat.server]]
id = "server"
addr = "%[4]s"
`

// daemon is the program in service, with the chat front, before a server of the test itself.
type daemon struct {
	*fleet
	listen string
	run    *process
}

func newDaemon(t *testing.T) *daemon {
	c := qt.New(t)
	network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
	d := &daemon{fleet: &fleet{c: c, folder: t.TempDir(), network: network}}
	d.listen = d.address(4, frontPort)
	listener, err := net.Listen("tcp", d.address(3, busyPort))
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"choices":[]}`)) // a caller that has left needs nothing
	})}
	go func() { _ = server.Serve(listener) }() // ends with Close
	c.Cleanup(func() { _ = server.Close() })
	path := filepath.Join(d.folder, "operator.toml")
	text := fmt.Sprintf(operatorFile, d.listen, daemonMemoryMB, daemonSockets, d.address(3, busyPort))
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	d.run = startProcess(c, d.folder, "daemon", "SUMACLOFT_LOG=warn", "sumacloft", "--config", path)
	c.Cleanup(func() { d.run.end(c) })
	d.await("the daemon to serve", d.chat)
	return d
}

// chat makes an ordinary request.
func (d *daemon) chat() error {
	return d.post("http://"+d.listen+chatPath, "chat", []byte(`{"model":"m","messages":[{"role":"user","content":"well?"}]}`))
}

// withstand lets crowds come, and checks that an ordinary request is answered beside them and after them, and that the daemon
// stays within its limits.
func (d *daemon) withstand(crowds ...crowd) {
	d.c.Helper()
	leave := gather(d.c, crowds...)
	d.check()
	d.await("an ordinary request beside the crowd", d.chat)
	leave()
	d.await("an ordinary request after the crowd", d.chat)
	d.check()
}

func (d *daemon) check() {
	d.c.Helper()
	d.c.Assert(d.run.alive(), qt.IsTrue)
	peak, descriptors := d.run.peakMB(d.c), d.run.peakDescriptors()
	d.c.Logf("peak memory of the daemon: %d MB; descriptors: %d", peak, descriptors)
	d.c.Check(peak <= daemonMemoryMB, qt.IsTrue, qt.Commentf("the daemon held %d MB of %d", peak, daemonMemoryMB))
	d.c.Check(descriptors <= daemonSockets, qt.IsTrue, qt.Commentf("the daemon held %d descriptors", descriptors))
}

// Guards against heads that are small on the wire and many times as large once they are read.
func TestDaemonHoldsHeadsOfShortLines(t *testing.T) {
	for name, send := range map[string]client{
		"ended":     in(head("POST", "chat", chatPath, "Content-Length: 1000"), ownNames(lines), headEnd),
		"alike":     in(head("POST", "chat", chatPath, "Content-Length: 1000"), sameNames(lines), headEnd),
		"not ended": in(head("POST", "chat", chatPath), ownNames(lines)),
	} {
		t.Run(name, func(t *testing.T) {
			d := newDaemon(t)
			d.withstand(crowd{daemonSockets, d.listen, same(send)})
		})
	}
}

func TestDaemonHoldsBodiesThatStopShort(t *testing.T) {
	for name, send := range map[string]client{
		"announced": in(announced("chat", chatPath, daemonBody), zeros(daemonBody-1)),
		"chunked":   in(chunked("chat", chatPath), chunks(daemonBody-(64<<10), 64<<10)),
		"one byte":  in(chunked("chat", chatPath), chunks(daemonBody-(64<<10), 1)),
		"too large": in(chunked("chat", chatPath), chunks(64*daemonBody, 64<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			d := newDaemon(t)
			d.withstand(crowd{daemonSockets, d.listen, same(send)})
		})
	}
}

func TestDaemonHoldsSilentConnections(t *testing.T) {
	d := newDaemon(t)
	d.withstand(crowd{2 * daemonSockets, d.listen, same(silent)})
}

// Guards against memory that a crowd leaves behind: what the next one takes would come on top.
func TestDaemonHoldsOneCrowdAfterAnother(t *testing.T) {
	d := newDaemon(t)
	for _, crowd := range []crowd{
		{daemonSockets / 2, d.listen, same(in(head("POST", "chat", chatPath, "Content-Length: 1000"), ownNames(lines), headEnd))},
		{daemonSockets / 2, d.listen, same(in(announced("chat", chatPath, daemonBody), zeros(daemonBody-1)))},
		{daemonSockets / 2, d.listen, same(in(chunked("chat", chatPath), chunks(daemonBody-(64<<10), 64<<10)))},
		{daemonSockets, d.listen, same(silent)},
		{daemonSockets / 2, d.listen, same(in(head("POST", "chat", chatPath, "Content-Length: 1000"), sameNames(lines), headEnd))},
	} {
		d.withstand(crowd)
	}
}

func TestDaemonHoldsAllKindsAtOnce(t *testing.T) {
	d := newDaemon(t)
	d.withstand(
		crowd{daemonSockets / 2, d.listen, same(in(head("POST", "chat", chatPath, "Content-Length: 1000"), ownNames(lines), headEnd))},
		crowd{daemonSockets / 2, d.listen, same(in(announced("chat", chatPath, daemonBody), zeros(daemonBody-1)))},
		crowd{daemonSockets / 2, d.listen, same(in(chunked("chat", chatPath), chunks(daemonBody-(64<<10), 64<<10)))},
		crowd{daemonSockets / 2, d.listen, same(silent)})
}

// A single request at the limits is served.
func TestDaemonServesRequestsAtTheLimits(t *testing.T) {
	d := newDaemon(t)
	body := `{"model":"m","messages":[{"role":"user","content":"`
	body += strings.Repeat("x", daemonBody-len(body)-len(`"}]}`)) + `"}]}`
	d.c.Assert(d.post("http://"+d.listen+chatPath, "chat", []byte(body)), qt.IsNil)
	answer := d.exchange(d.listen, in(head("POST", "chat", chatPath, "Transfer-Encoding: chunked"), headEnd, oneByteChunks(body)))
	d.c.Check(answer, qt.Equals, "200 OK")
	answer = d.exchange(d.listen, in(head("GET", "chat", "/v1/models"), ownNames(lines), headEnd))
	d.c.Check(answer, qt.Equals, "200 OK")
	d.check()
}
