package rpc_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/rpc"
)

type note struct {
	Text string `cbor:"1,keyasint,omitempty"`
}

const callEcho rpc.Procedure[note, note] = "/test/Echo"

func TestRequestsCarryOnlyUsedHeaders(t *testing.T) {
	c := qt.New(t)
	// Given a server that records the headers of a call and handles it as usual,
	headers := make(chan http.Header, 1)
	mux := http.NewServeMux()
	callEcho.Handle(mux, func(_ context.Context, request *note) (*note, error) { return request, nil })
	peer := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, call *http.Request) {
		headers <- call.Header.Clone()
		mux.ServeHTTP(response, call)
	}))
	defer peer.Close()
	// when a client calls it,
	response, err := callEcho.Call(t.Context(), rpc.NewClient(network.System{}), peer.Listener.Addr().String(), &note{Text: "a"})
	// then the response arrives and the request has only the headers for encoding and length.
	c.Assert(err, qt.IsNil)
	c.Assert(response.Text, qt.Equals, "a")
	c.Assert(<-headers, qt.DeepEquals, http.Header{"Content-Type": {"application/cbor"}, "Content-Length": {"4"}})
}

func TestResponsesCarryNoDateHeader(t *testing.T) {
	c := qt.New(t)
	// Given a server,
	mux := http.NewServeMux()
	callEcho.Handle(mux, func(_ context.Context, request *note) (*note, error) {
		if request.Text == "" {
			return nil, errors.New("not now")
		}
		return request, nil
	})
	bound := listener(c)
	address := bound.Addr().String()
	server := rpc.NewServer(fixedListener{bound}, mux, nil)
	c.Assert(server.Serve(address), qt.IsNil)
	defer server.Close()
	// when a call arrives,
	connection, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	_, err = connection.Write([]byte("POST /test/Echo HTTP/1.1\r\nHost: a\r\nContent-Type: application/cbor\r\nContent-Length: 4\r\n\r\n\xa1\x01\x61a"))
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	c.Assert(err, qt.IsNil)
	// then its response has the headers for encoding and length, and the library's header that disables compression.
	want := http.Header{"Content-Type": {"application/cbor"}, "Content-Length": {"4"}, "Accept-Encoding": {""}}
	c.Assert(response.Header, qt.DeepEquals, want)
	// An error of the handler becomes an error of the call.
	_, err = callEcho.Call(t.Context(), rpc.NewClient(network.System{}), address, &note{})
	c.Assert(err, qt.ErrorMatches, "rpc: check that the peer runs.*not now")
	c.Assert(rpc.Error.Has(err), qt.IsTrue)
}

// listener listens on a loopback port that the system chooses.
func listener(c *qt.C) net.Listener {
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return bound
}

// fixedListener is the system's network, but Listen returns an existing listener.
type fixedListener struct{ bound net.Listener }

func (f fixedListener) Listen(string) (net.Listener, error) { return f.bound, nil }

func (f fixedListener) Dial(ctx context.Context, address string, options network.DialOptions) (net.Conn, error) {
	return network.System{}.Dial(ctx, address, options)
}

func (f fixedListener) ListenPacket(address string) (net.PacketConn, error) {
	return network.System{}.ListenPacket(address)
}
