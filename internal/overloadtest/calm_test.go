package overloadtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// exchange sends one request on a connection of its own and returns the status of its answer.
func (f *fleet) exchange(address string, send client) string {
	f.c.Helper()
	conn, err := net.Dial("tcp", address)
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }() // the answer was read
	f.c.Assert(conn.SetDeadline(time.Now().Add(callTimeout)), qt.IsNil)
	buffered := bufio.NewWriterSize(conn, 64<<10)
	f.c.Assert(send(buffered), qt.IsNil)
	f.c.Assert(buffered.Flush(), qt.IsNil)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, answer.Body)
	f.c.Assert(err, qt.IsNil)
	return answer.Status
}

// oneByteChunks sends a whole body, each of its bytes in a chunk of its own.
func oneByteChunks(body string) client {
	return func(conn io.Writer) error {
		for at := range len(body) {
			if _, err := io.WriteString(conn, "1\r\n"+body[at:at+1]+"\r\n"); err != nil {
				return err
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
}

// Single requests at the limits of the configuration are served.
func TestFrontServesRequestsAtTheLimits(t *testing.T) {
	f := newFleet(t)
	body := strings.Repeat("0", bodyBytes)
	path := busyPath + "size"
	sized := fmt.Sprintf("Content-Length: %d", bodyBytes)
	for name, send := range map[string]client{
		"announced":              in(head("POST", host, path, sized), headEnd, text("%s", body)),
		"chunked":                in(chunked(host, path), chunks(bodyBytes, 64<<10), text("0\r\n\r\n")),
		"one-byte chunks":        in(chunked(host, path), oneByteChunks(body)),
		"short lines, own names": in(head("POST", host, path, sized), ownNames(lines), headEnd, text("%s", body)),
		"short lines, alike":     in(head("POST", host, path, sized), sameNames(lines), headEnd, text("%s", body)),
	} {
		f.c.Check(f.exchange(f.front(), send), qt.Equals, "200 OK", qt.Commentf(name))
	}
	f.check()
}
