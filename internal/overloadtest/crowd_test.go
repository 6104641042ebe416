package overloadtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// sendTimeout bounds how long one client of a crowd tries to send: one that is not read gives up and stays open.
	sendTimeout = 4 * time.Second
	// stayTime is how long a crowd stays once it has sent what it can.
	stayTime = 500 * time.Millisecond
)

// client is what one client of a crowd sends; it returns at the first error.
type client func(conn io.Writer) error

// crowd is a number of clients that connect to an address at once, send, and stay open.
type crowd struct {
	size    int
	address string
	send    func(number int) client
}

// gather lets crowds come together. It returns once all have sent what they could; leave closes their connections.
func gather(c *qt.C, crowds ...crowd) (leave func()) {
	var sending sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	for _, crowd := range crowds {
		for number := range crowd.size {
			sending.Go(func() {
				conn, err := net.DialTimeout("tcp", crowd.address, sendTimeout)
				if err != nil {
					return // the door may be closed to a crowd
				}
				mu.Lock()
				open = append(open, conn)
				mu.Unlock()
				_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
				_ = crowd.send(number)(conn) // it may be refused
			})
		}
	}
	sending.Wait()
	time.Sleep(stayTime)
	return func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}
}

// withstand lets crowds come, and checks that an ordinary call is answered beside them and after them, and that all processes
// stay within their limits.
func (f *fleet) withstand(ordinary func() error, crowds ...crowd) {
	f.c.Helper()
	f.withstandBeside(ordinary, f.request, crowds...)
}

// withstandBeside is withstand with another ordinary request for after the crowd.
func (f *fleet) withstandBeside(ordinary, request func() error, crowds ...crowd) {
	f.c.Helper()
	leave := gather(f.c, crowds...)
	f.check()
	f.await("an ordinary call beside the crowd", ordinary)
	leave()
	f.workers.releaseAll()
	f.await("an ordinary call after the crowd", ordinary)
	f.await("an ordinary request after the crowd", request)
	f.check()
}

// same has all clients of a crowd send the same.
func same(send client) func(int) client { return func(int) client { return send } }

// in sends several things one after the other.
func in(order ...client) client {
	return func(conn io.Writer) error {
		for _, send := range order {
			if err := send(conn); err != nil {
				return err
			}
		}
		return nil
	}
}

// text sends a text.
func text(format string, values ...any) client {
	return func(conn io.Writer) error {
		_, err := fmt.Fprintf(conn, format, values...)
		return err
	}
}

// zeros sends so many bytes, not all at once.
func zeros(size int) client {
	return func(conn io.Writer) error {
		piece := bytes.Repeat([]byte("0"), 64<<10)
		for left := size; left > 0; left -= len(piece) {
			if _, err := conn.Write(piece[:min(left, len(piece))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// chunks sends so many bytes of a body in chunks of a size, and not the last chunk.
func chunks(size, chunk int) client {
	return func(conn io.Writer) error {
		one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("0", chunk))
		many := strings.Repeat(one, max((64<<10)/len(one), 1))
		for left := size; left > 0; left -= len(many) / len(one) * chunk {
			if _, err := io.WriteString(conn, many); err != nil {
				return err
			}
		}
		return nil
	}
}

// dripInterval is the pause between two bytes of a dripping client.
const dripInterval = 50 * time.Millisecond

// drip sends single bytes until the connection takes no more.
func drip(conn io.Writer) error {
	for {
		if _, err := conn.Write([]byte("0")); err != nil {
			return err
		}
		time.Sleep(dripInterval)
	}
}

// head starts a request, without the end of its head.
func head(method, host, path string, fields ...string) client {
	lines := ""
	for _, field := range fields {
		lines += field + "\r\n"
	}
	return text("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: 1f\r\nX-Built-On: 1\r\nContent-Type: application/cbor\r\n%s", method, path, host, lines)
}

// headEnd ends a head.
var headEnd = text("\r\n")

// announced starts a request whose body has so many bytes.
func announced(host, path string, size int) client {
	return in(head("POST", host, path, fmt.Sprintf("Content-Length: %d", size)), headEnd)
}

// chunked starts a request with a chunked body.
func chunked(host, path string) client {
	return in(head("POST", host, path, "Transfer-Encoding: chunked"), headEnd)
}

// sameNames and ownNames are short lines of a head, so many bytes of them, whose names are alike or not.
func sameNames(size int) client {
	return text("%s", strings.Repeat("a:\r\n", size/len("a:\r\n")))
}

func ownNames(size int) client {
	var lines strings.Builder
	for number := 0; lines.Len() < size; number++ {
		lines.WriteString(shortName(number) + ":\r\n")
	}
	return text("%s", lines.String())
}

// shortName is a name of three letters, another one for each number.
func shortName(number int) string {
	const letters = "bcdefghijklmnopqrstuvwxyz0123456789"
	return string([]byte{letters[number%len(letters)], letters[number/len(letters)%len(letters)], letters[number/len(letters)/len(letters)%len(letters)]})
}

// silent sends nothing.
func silent(io.Writer) error { return nil }
