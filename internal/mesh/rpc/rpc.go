// Package rpc implements the calls between the system's own processes: unary connect-go calls over HTTP/1.1 with CBOR
// bodies. The messages are the Go structs of package message, which also names the procedures by constants.
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

// Error is the class of failed calls between the system's processes. The peer may be down or unreachable; callers try
// another peer.
var Error = errs.Class("rpc: check that the peer runs and that the inside ports are open")

const (
	// dialLimit is the timeout for opening a connection; peers are on the same network.
	dialLimit = 500 * time.Millisecond
	// silentLimit is how long written bytes may stay unacknowledged before the kernel closes the connection.
	silentLimit = 2 * time.Second
	// idleLimit is how long an idle connection is kept.
	idleLimit = 30 * time.Second
	// headerLimit is the timeout for receiving the headers of a call.
	headerLimit = 5 * time.Second
)

// Client makes calls. It reuses connections. Safe for concurrent use.
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

// Meter counts the client's calls by path.
func (c *Client) Meter() *traffic.Meter { return c.meter }

// headBytes is the size of the headers of a call, and also of those of its response.
const headBytes = 93

// shortHeads removes headers that no server here reads, because headers are most of a small call. It also counts the calls.
type shortHeads struct {
	http.RoundTripper
	meter *traffic.Meter
}

// RoundTrip implements http.RoundTripper.
func (s shortHeads) RoundTrip(call *http.Request) (*http.Response, error) {
	kind := traffic.Kind(call.URL.Path)
	s.meter.Add(kind, call.URL.Host, headBytes+int(max(call.ContentLength, 0)), headBytes)
	answer, err := s.roundTrip(call)
	if err == nil {
		answer.Body = &countedBody{ReadCloser: answer.Body, count: func(n int) { s.meter.AddReceived(kind, call.URL.Host, n) }}
	}
	return answer, err
}

// countedBody counts the bytes read from a body.
type countedBody struct {
	io.ReadCloser
	count func(n int)
}

// Read implements io.Reader.
func (b *countedBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if n > 0 {
		b.count(n)
	}
	return n, err
}

func (s shortHeads) roundTrip(call *http.Request) (*http.Response, error) {
	short := call.Clone(call.Context())
	short.Header["User-Agent"] = nil // net/http adds a default if the key is absent
	short.Header.Del("Accept-Encoding")
	short.Header.Del("Connect-Protocol-Version")
	return s.RoundTripper.RoundTrip(short)
}

// noDate omits the Date header from responses, because nothing reads it.
func noDate(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(answer http.ResponseWriter, call *http.Request) {
		answer.Header()["Date"] = nil
		handler.ServeHTTP(answer, call)
	})
}

// Both ends disable compression: most messages are too small to benefit, and large ones are compressed already.
var (
	plainCalls   = connect.WithAcceptCompression("gzip", nil, nil)
	plainAnswers = connect.WithCompression("gzip", nil, nil)
)

// Procedure is the path of a call, with the types of its request and response.
type Procedure[Question, Answer any] string

// Call calls the procedure at the address and waits for the response until the context ends.
func (p Procedure[Question, Answer]) Call(ctx context.Context, client *Client, address string, question *Question) (*Answer, error) {
	caller := connect.NewClient[Question, Answer](client.http, "http://"+address+string(p), connect.WithCodec(codec{}), plainCalls)
	answer, err := caller.CallUnary(ctx, connect.NewRequest(question))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return answer.Msg, nil
}

// Handle registers the procedure's handler on the mux.
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

// NewServer makes a server for the mux that listens on the network.
func NewServer(over network.Network, mux *http.ServeMux) *Server {
	server := &http.Server{Handler: noDate(mux), ReadHeaderTimeout: headerLimit, IdleTimeout: 2 * idleLimit}
	return &Server{over: over, http: server}
}

// Serve handles calls on the address until Close.
func (s *Server) Serve(address string) error {
	listener, err := s.over.Listen(address)
	if err != nil {
		return Error.Wrap(err)
	}
	go func() { _ = s.http.Serve(listener) }() // returns after Close, which reports the only relevant error
	return nil
}

// Close shuts down the server and closes its connections.
func (s *Server) Close() error {
	var err error
	s.once.Do(func() { err = s.http.Close() })
	return Error.Wrap(err)
}
