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

	"sumacloft/internal/bounds"
	"sumacloft/internal/inflight"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/traffic"
)

// Error is the class of failed calls between the system's processes. The peer may be down or unreachable; callers try
// another peer.
var Error = errs.Class("rpc: check that the peer runs and that the inside ports are open")

const (
	// dialLimit is the timeout for opening a connection; peers are on the same network.
	dialTimeout = 500 * time.Millisecond
	// silentLimit is how long written bytes may stay unacknowledged before the kernel closes the connection.
	unackedTimeout = 2 * time.Second
	// idleLimit is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// Client makes calls. It reuses connections. Safe for concurrent use.
type Client struct {
	http  *http.Client
	meter *traffic.Meter
}

// NewClient makes a client that dials over the network.
func NewClient(over network.Network) *Client {
	options := network.DialOptions{Timeout: dialTimeout, UnackedTimeout: unackedTimeout, NoKeepAlive: true}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return over.Dial(ctx, address, options)
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout,
	}
	meter := &traffic.Meter{}
	return &Client{http: &http.Client{Transport: trimmedHeaders{transport, meter}}, meter: meter}
}

// Meter counts the client's calls by path.
func (c *Client) Meter() *traffic.Meter { return c.meter }

// headerBytes is the size of the headers of a call, and also of those of its response.
const headerBytes = 93

// trimmedHeaders removes headers that no server here reads, because headers are most of a small call. It also counts the calls.
type trimmedHeaders struct {
	http.RoundTripper
	meter *traffic.Meter
}

// RoundTrip implements http.RoundTripper.
func (s trimmedHeaders) RoundTrip(call *http.Request) (*http.Response, error) {
	kind := traffic.Kind(call.URL.Path)
	s.meter.Add(kind, call.URL.Host, headerBytes+int(max(call.ContentLength, 0)), headerBytes)
	response, err := s.roundTrip(call)
	if err == nil {
		response.Body = &countedBody{ReadCloser: response.Body, count: func(n int) { s.meter.AddReceived(kind, call.URL.Host, n) }}
	}
	return response, err
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

func (s trimmedHeaders) roundTrip(call *http.Request) (*http.Response, error) {
	trimmed := call.Clone(call.Context())
	trimmed.Header["User-Agent"] = nil // net/http adds a default if the key is absent
	trimmed.Header.Del("Accept-Encoding")
	trimmed.Header.Del("Connect-Protocol-Version")
	return s.RoundTripper.RoundTrip(trimmed)
}

// withoutDate omits the Date header from responses, because nothing reads it.
func withoutDate(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, call *http.Request) {
		response.Header()["Date"] = nil
		handler.ServeHTTP(response, call)
	})
}

// Both ends disable compression: most messages are too small to benefit, and large ones are compressed already.
var (
	uncompressedRequests  = connect.WithAcceptCompression("gzip", nil, nil)
	uncompressedResponses = connect.WithCompression("gzip", nil, nil)
)

// maxMessageBytes bounds a message. The largest is a part of a partition's log, which fits into one segment on disk.
const maxMessageBytes = 24 << 20

// limitedMessages applies maxMessageBytes to requests and responses.
var limitedMessages = connect.WithReadMaxBytes(maxMessageBytes)

// Procedure is the path of a call, with the types of its request and response.
type Procedure[Request, Response any] string

// Call calls the procedure at the address and waits for the response until the context ends.
func (p Procedure[Request, Response]) Call(ctx context.Context, client *Client, address string, request *Request) (*Response, error) {
	caller := connect.NewClient[Request, Response](client.http, "http://"+address+string(p), connect.WithCodec(codec{}), uncompressedRequests, limitedMessages)
	response, err := caller.CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return response.Msg, nil
}

// Handle registers the procedure's handler on the mux.
func (p Procedure[Request, Response]) Handle(mux *http.ServeMux, handler func(context.Context, *Request) (*Response, error)) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
		response, err := handler(ctx, request.Msg)
		if err == nil {
			err = chargeResponse(ctx, response)
		}
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(response), nil
	}
	mux.Handle(string(p), connect.NewUnaryHandler(string(p), unary, connect.WithCodec(codec{}), uncompressedResponses, limitedMessages))
}

// Large is implemented by responses that may be large. Their size is charged to the call before they are encoded.
type Large interface {
	// LargeBytes returns the size of the parts that may be large.
	LargeBytes() int
}

const (
	// largeResponse is the size from which a response is charged.
	largeResponse = 32 << 10
	// encodedCopies is how many times a response is held while it is encoded.
	encodedCopies = 3
)

// chargeResponse charges a large response to the call's connection. While it is written, the connection may make room for others.
func chargeResponse(ctx context.Context, response any) error {
	large, ok := response.(Large)
	if !ok || large.LargeBytes() < largeResponse {
		return nil
	}
	return Charge(ctx, large.LargeBytes())
}

// Charge charges a response of so many bytes to the call's connection, unless it is charged already. Handlers call it before
// they make a large response, so that a call for which there is no room makes none.
func Charge(ctx context.Context, bytes int) error {
	return Error.Wrap(bounds.HolderOf(ctx).GrowTo(encodedCopies * int64(bytes)))
}

// Server serves calls on listeners until it is closed.
type Server struct {
	network network.Network
	limiter *bounds.Limiter
	http    *http.Server
	once    sync.Once
}

// NewServer makes a server for the mux that listens on the network. Its connections and calls share the account with all others
// of the process.
func NewServer(over network.Network, mux *http.ServeMux, account *inflight.Account) *Server {
	limiter := bounds.NewPreferred(account)
	server := limiter.Server(withoutDate(bounds.MeterBodies(maxMessageBytes, mux)), nil)
	return &Server{network: over, limiter: limiter, http: server}
}

// Serve handles calls on the address until Close.
func (s *Server) Serve(address string) error {
	listener, err := s.network.Listen(address)
	if err != nil {
		return Error.Wrap(err)
	}
	go func() { _ = s.http.Serve(s.limiter.Listen(listener)) }() // returns after Close, which reports the only relevant error
	return nil
}

// Close shuts down the server and closes its connections.
func (s *Server) Close() error {
	var err error
	s.once.Do(func() { err = s.http.Close() })
	return Error.Wrap(err)
}
