// Package rpc carries the calls between the system's own processes: connect-go unary calls over HTTP/1.1 whose
// bodies are CBOR. Messages are the Go structs of package message; procedures are named by constants there.
package rpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"

	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/traffic"
)

// Error is the class of failures of calls between the system's processes. The peer may be down or cut off; callers
// go on to another peer.
var Error = errs.Class("rpc: check that the peer runs and that the inside ports are open")

const (
	// dialLimit bounds how long a connection may take to come up: peers are on the same network.
	dialLimit = 500 * time.Millisecond
	// silentLimit is how long written bytes may stay unacknowledged before the kernel gives the connection up.
	silentLimit = 2 * time.Second
	// idleLimit is how long a connection without a call is kept.
	idleLimit = 30 * time.Second
	// headerLimit bounds the time that a caller may take to send the head of a call.
	headerLimit = 5 * time.Second
)

// Client makes calls. It keeps connections for later calls. Safe for concurrent use.
type Client struct {
	http  *http.Client
	meter *traffic.Meter
}

// NewClient makes a client that dials over the network.
func NewClient(over network.Network) *Client {
	terms := network.Terms{Limit: dialLimit, Silence: silentLimit, NoKeepAlive: true}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return over.Dial(ctx, address, terms)
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleLimit,
	}
	meter := &traffic.Meter{}
	return &Client{http: &http.Client{Transport: shortHeads{transport, meter}}, meter: meter}
}

// Meter counts the client's calls by their paths.
func (c *Client) Meter() *traffic.Meter { return c.meter }

// headBytes is what the heads of a call and of its answer take, each.
const headBytes = 93

// shortHeads leaves out of calls what no server here reads: heads are most of what a small call carries. It counts the calls.
type shortHeads struct {
	http.RoundTripper
	meter *traffic.Meter
}

// RoundTrip serves http.RoundTripper.
func (s shortHeads) RoundTrip(call *http.Request) (*http.Response, error) {
	kind := traffic.Kind(call.URL.Path)
	s.meter.Add(kind, call.URL.Host, headBytes+int(max(call.ContentLength, 0)), headBytes)
	answer, err := s.roundTrip(call)
	if err == nil {
		answer.Body = &countedBody{ReadCloser: answer.Body, count: func(n int) { s.meter.AddReceived(kind, call.URL.Host, n) }}
	}
	return answer, err
}

// countedBody counts what is read of a body.
type countedBody struct {
	io.ReadCloser
	count func(n int)
}

// Read serves io.Reader.
func (b *countedBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if n > 0 {
		b.count(n)
	}
	return n, err
}

func (s shortHeads) roundTrip(call *http.Request) (*http.Response, error) {
	short := call.Clone(call.Context())
	short.Header["User-Agent"] = nil // one that is missing would be filled in
	short.Header.Del("Accept-Encoding")
	short.Header.Del("Connect-Protocol-Version")
	return s.RoundTripper.RoundTrip(short)
}

// noDate leaves the time of day out of answers: no decision reads it.
func noDate(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(answer http.ResponseWriter, call *http.Request) {
		answer.Header()["Date"] = nil
		handler.ServeHTTP(answer, call)
	})
}

// Both ends go without compression: most messages are far below the size at which it pays, and what is large comes
// compressed.
var (
	plainCalls   = connect.WithAcceptCompression("gzip", nil, nil)
	plainAnswers = connect.WithCompression("gzip", nil, nil)
)

// Procedure is a call's path and the types of its question and answer.
type Procedure[Question, Answer any] string

// Call makes the call at the address and waits for the answer, at most until the context ends.
func (p Procedure[Question, Answer]) Call(ctx context.Context, client *Client, address string, question *Question) (*Answer, error) {
	caller := connect.NewClient[Question, Answer](client.http, "http://"+address+string(p), connect.WithCodec(codec{}), plainCalls)
	answer, err := caller.CallUnary(ctx, connect.NewRequest(question))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return answer.Msg, nil
}

// Handle serves the call on the mux.
func (p Procedure[Question, Answer]) Handle(mux *http.ServeMux, handler func(context.Context, *Question) (*Answer, error)) {
	unary := func(ctx context.Context, request *connect.Request[Question]) (*connect.Response[Answer], error) {
		answer, err := handler(ctx, request.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(answer), nil
	}
	mux.Handle(string(p), connect.NewUnaryHandler(string(p), unary, connect.WithCodec(codec{}), plainAnswers))
}

// Server serves calls on listeners until it is closed.
type Server struct {
	over network.Network
	http *http.Server
	once sync.Once
}

// NewServer makes a server of the mux that listens on the network.
func NewServer(over network.Network, mux *http.ServeMux) *Server {
	server := &http.Server{Handler: noDate(mux), ReadHeaderTimeout: headerLimit, IdleTimeout: 2 * idleLimit}
	return &Server{over: over, http: server}
}

// Serve answers calls on the address until Close.
func (s *Server) Serve(address string) error {
	listener, err := s.over.Listen(address)
	if err != nil {
		return Error.Wrap(err)
	}
	go func() { _ = s.http.Serve(listener) }() // ends with Close, whose error is the only one that matters
	return nil
}

// Close ends the server and its connections.
func (s *Server) Close() error {
	var err error
	s.once.Do(func() { err = s.http.Close() })
	return Error.Wrap(err)
}
