package calls

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/core"
	"sumacloft/internal/fleettest/memnet"
	"sumacloft/internal/upstream"
)

const (
	workerAddr    = "10.0.0.2:9000"
	notRunAnswer  = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: 1\r\nContent-Length: 0\r\n\r\n"
	successAnswer = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Request-Id: 1\r\nContent-Length: 2\r\n\r\nok"
)

// serveDuplicates turns the first request away, repeats that answer if another request arrives on the same connection,
// and runs all others.
func serveDuplicates(listener net.Listener) {
	for number := 0; ; number++ {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go serveConnection(connection, number == 0)
	}
}

// serveConnection serves one connection. On the first one it sends the duplicate answer.
func serveConnection(connection net.Conn, first bool) {
	reader := bufio.NewReader(connection)
	for turn := 0; ; turn++ {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if first {
			_, _ = io.WriteString(connection, notRunAnswer)
		}
		if first && turn == 0 {
			continue
		}
		time.Sleep(100 * time.Millisecond) // the run takes some time
		_, _ = io.WriteString(connection, successAnswer)
	}
}

// secondAttempt makes two attempts of one request at a worker that sends its refusal of the first attempt twice. It
// reports whether the second attempt, which runs, is taken as turned away.
func secondAttempt(t *testing.T, faults Faults) (turnedAway bool) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fabric := memnet.New(time.Millisecond)
		workerProcess, proxyProcess := fabric.Machine("10.0.0.2").Process(), fabric.Machine("10.0.0.1").Process()
		listener, err := workerProcess.Listen(workerAddr)
		c.Assert(err, qt.IsNil)
		go serveDuplicates(listener)
		terms := upstream.Terms{Patient: true, EndsWithConnection: true, KeepAlive: true, Network: proxyProcess}
		caller := New(upstream.NewPoolOn(terms, upstream.NewBudget(10), time.Second, time.Minute))
		caller.Faults = faults
		request := &Request{ID: "1", Method: http.MethodGet, URI: "/x", Header: http.Header{headerRequestID: {"1"}},
			Deadline: time.Now().Add(time.Minute), Terms: Terms{MaxRuns: 3}}
		job := NewJob(caller, request, &countingBudget{})
		worker, clear := core.Worker{Name: "w", Addr: workerAddr}, func() error { return nil }
		_, err = job.Try(context.Background(), worker, clear)
		c.Assert(err, qt.IsNotNil)
		time.Sleep(50 * time.Millisecond) // the connection is idle in the pool
		_, err = job.Try(context.Background(), worker, clear)
		turnedAway = err != nil
		workerProcess.Kill()
		proxyProcess.Kill()
		time.Sleep(2 * time.Minute)
	})
	return turnedAway
}

// A late duplicate of a refusal must not be taken for the answer to the request's next attempt, which runs.
func TestAttemptsOfOneRequestDoNotShareAConnection(t *testing.T) {
	c := qt.New(t)
	c.Assert(secondAttempt(t, Faults{}), qt.IsFalse)
	c.Assert(secondAttempt(t, Faults{SameConnection: true}), qt.IsTrue)
}
