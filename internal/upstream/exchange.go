package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sumacloft/internal/core"
	"sumacloft/internal/inflight"
	"sumacloft/internal/mesh/traffic"
)

const (
	// maxSmall bounds an answer that is read whole.
	maxSmall = 64 << 10
	// silentLimit is how long a stream that has begun may say nothing. A client kept waiting for 5 s is lost to
	// the rules; one whose stream is broken off before that comes again for the rest.
	silentLimit = 4500 * time.Millisecond
	piece       = 16 << 10
)

// Answer is the answer to one exchange, from its head on. Read it to its end with Small or Next, or Close it.
type Answer struct {
	*http.Response
	pool *Pool
	conn *conn
	stop func() bool // ends the watch on the exchange's context
	ctx  context.Context
	buf  []byte
	kept []byte      // the first bytes of a stream, until Next has given them
	done atomic.Bool // the connection has been given back or closed
}

// Do sends one request, given as its bytes, and waits for the head of the answer. clear, if not nil, is asked
// once a connection is there and before anything is written; calls without it may use the spare sockets. Errors are *core.AttemptError; ctx's cause is
// among what they wrap when that ended the exchange.
func (p *Pool) Do(ctx context.Context, addr, method string, request []byte, clear func() error) (*Answer, error) {
	return p.exchange(ctx, addr, method, traffic.Service, clear != nil, nil, func() (Message, error) {
		if clear == nil {
			return Message{Head: request}, nil
		}
		return Message{Head: request}, clear()
	})
}

// Message is a request as it is written: its head, and its body if that does not stand behind the head already.
type Message struct{ Head, Body []byte }

// size returns the length of the message in bytes.
func (m Message) size() int { return len(m.Head) + len(m.Body) }

// writeTo writes the message without copying its body.
func (m Message) writeTo(w io.Writer) (n int, err error) {
	n, err = w.Write(m.Head)
	if err != nil || len(m.Body) == 0 {
		return n, err
	}
	more, err := w.Write(m.Body)
	return n + more, err
}

// DoAtWrite is Do for an attempt whose request tells what is true as it is written: its bytes are asked for once a
// connection is there, and its bytes count under the kind. An error instead of them ends the exchange before anything is written. Connections that avoid, if
// not nil, tells of by their numbers are not used: a late surplus answer to an exchange of the same request may come there.
func (p *Pool) DoAtWrite(ctx context.Context, addr, method string, kind traffic.Kind, avoid func(connection uint64) bool, request func() (Message, error)) (*Answer, error) {
	return p.exchange(ctx, addr, method, kind, true, avoid, request)
}

func (p *Pool) exchange(ctx context.Context, addr, method string, kind traffic.Kind, attempt bool, avoid func(uint64) bool, message func() (Message, error)) (*Answer, error) {
	fail := func(stage core.Stage, err error) (*Answer, error) {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &core.AttemptError{Stage: stage, Verdict: verdict(err), Err: err}
	}
	c, err := p.get(ctx, addr, attempt, avoid)
	if err != nil {
		return fail(core.NotConnected, err)
	}
	request, err := message()
	if err != nil {
		p.put(c)
		return fail(core.NotConnected, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	began := time.Now()
	c.kind = kind
	c.meter.Add(kind, addr, request.size(), 0)
	if n, err := request.writeTo(c); err != nil {
		if resp, early := c.head(method); early == nil {
			resp.Close = true // the rest of the request can't follow
			return &Answer{Response: resp, pool: p, conn: c, stop: stop, ctx: ctx}, nil
		}
		stop()
		c.discard()
		err = p.stale.judge(c, began, err)
		if n < request.size() {
			return fail(core.PartlyWritten, err)
		}
		return fail(core.Written, err)
	}
	resp, err := c.head(method)
	if err != nil {
		stop()
		c.discard()
		return fail(core.Written, p.stale.judge(c, began, err))
	}
	if p.terms.KeepAlive {
		c.limit = announced(resp.Header.Get("Keep-Alive"))
	}
	return &Answer{Response: resp, pool: p, conn: c, stop: stop, ctx: ctx}, nil
}

// Connection is the number of the answer's connection; no two connections of a pool have the same.
func (a *Answer) Connection() uint64 { return a.conn.number }

// Fresh tells whether the answer's connection had carried nothing before: no other answer can have come there.
func (a *Answer) Fresh() bool { return a.conn.since.IsZero() }

// Last has the answer's connection carry nothing more; call it before the answer is read to its end.
func (a *Answer) Last() { a.Response.Close = true }

// announced is the part of the time that a Keep-Alive header announces in which a connection is still used; 0 where
// there is none.
func announced(keepAlive string) time.Duration {
	for parameter := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			return time.Duration(idleShare * float64(seconds) * float64(time.Second))
		}
	}
	return 0
}

// Small reads a short answer whole and gives the connection back.
func (a *Answer) Small() ([]byte, error) { return a.Whole(maxSmall) }

// Whole reads an answer of at most so many bytes and gives the connection back.
func (a *Answer) Whole(most int64) ([]byte, error) { return a.WholeFor(most, nil) }

// WholeFor is Whole for an answer whose bytes are charged to a holder as they come.
func (a *Answer) WholeFor(most int64, holder *inflight.Holder) ([]byte, error) {
	body, err := inflight.ReadBody(a.Body, a.ContentLength, most, holder)
	if errors.Is(err, inflight.ErrTooLarge) {
		err = fmt.Errorf("an answer of more than %d bytes", most)
	}
	if err == nil && a.unbounded() {
		err = io.ErrUnexpectedEOF
	}
	a.end(err == nil)
	if err != nil {
		return nil, a.failed(core.Head, err)
	}
	return body, nil
}

// First waits for the first event of a stream, still under the exchange's context, and keeps it for Next: bytes that
// are no event must not be taken for an answer that has begun. From then on only Next and Close end the stream.
func (a *Answer) First() error {
	a.buf = make([]byte, piece)
	for {
		b, err := a.read()
		a.kept = append(a.kept, b...)
		whole, noise := opening(a.kept, a.pool.terms.EventFields...)
		if whole {
			break // a fault behind the event comes again with the next read
		}
		if err = cmp.Or(noise, err); err != nil {
			a.end(false)
			return a.failed(core.Head, err)
		}
	}
	if !a.stop() {
		a.end(false)
		return a.failed(core.Head, context.Canceled)
	}
	a.stop = func() bool { return true }
	return nil
}

// Next reads the next bytes of a stream as they come. io.EOF says that it has come to its proper end.
func (a *Answer) Next() ([]byte, error) {
	if b := a.kept; b != nil {
		a.kept = nil
		return b, nil
	}
	if !a.pool.terms.Patient {
		if err := a.conn.SetReadDeadline(time.Now().Add(silentLimit)); err != nil {
			a.end(false)
			return nil, &core.AttemptError{Stage: core.Streaming, Err: err}
		}
	}
	b, err := a.read()
	switch {
	case errors.Is(err, io.EOF):
		a.end(true)
	case err != nil:
		a.end(false)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = fmt.Errorf("silent for %v", silentLimit)
		}
		err = &core.AttemptError{Stage: core.Streaming, Verdict: verdict(err), Err: err}
	}
	return b, err
}

// read reads some of the body.
func (a *Answer) read() ([]byte, error) {
	n, err := a.Body.Read(a.buf)
	if errors.Is(err, io.EOF) && a.unbounded() {
		err = io.ErrUnexpectedEOF
	}
	return a.buf[:n], err
}

// unbounded tells of a body without a length or chunks: it ends with its connection, so its end proves nothing
// and counts as a break, unless the pool's terms say otherwise.
func (a *Answer) unbounded() bool { return a.closing() && !a.pool.terms.EndsWithConnection }

// closing tells of a body that ends with its connection.
func (a *Answer) closing() bool { return a.ContentLength < 0 && len(a.TransferEncoding) == 0 }

// Close gives the answer up, unless it has come to its end. It may be called while Next waits.
func (a *Answer) Close() {
	if a.done.CompareAndSwap(false, true) {
		a.conn.discard()
	}
}

func (a *Answer) end(whole bool) {
	if !a.stop() || !whole || a.Response.Close || a.closing() {
		a.Close()
	} else if a.done.CompareAndSwap(false, true) {
		a.pool.put(a.conn)
	}
}

func (a *Answer) failed(stage core.Stage, err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	return &core.AttemptError{Stage: stage, Verdict: verdict(err), Err: err}
}

// verdict tells what may happen with any worker from what is a word on this one.
func verdict(err error) core.Verdict {
	for _, mishap := range []error{errHead, errChunk, errOpening, errStale} {
		if errors.Is(err, mishap) {
			return core.NetworkFault
		}
	}
	return core.NoVerdict
}
