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

func TestHeadsCarryOnlyWhatIsRead(t *testing.T) {
	c := qt.New(t)
	// Given a server that records the headers of a call and handles it as usual,
	heads := make(chan http.Header, 1)
	mux := http.NewServeMux()
	callEcho.Handle(mux, func(_ context.Context, question *note) (*note, error) { return question, nil })
	peer := httptest.NewServer(http.HandlerFunc(func(answer http.ResponseWriter, call *http.Request) {
		heads <- call.Header.Clone()
		mux.ServeHTTP(answer, call)
	}))
	defer peer.Close()
	// when a client calls it,
	answer, err := callEcho.Call(t.Context(), rpc.NewClient(network.System{}), peer.Listener.Addr().String(), &note{Text: "a"})
	// then the response arrives and the request has only the headers for encoding and length.
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Text, qt.Equals, "a")
	c.Assert(<-heads, qt.DeepEquals, http.Header{"Content-Type": {"application/cbor"}, "Content-Length": {"4"}})
}

func TestAnswersCarryNoTimeOfDay(t *testing.T) {
	c := qt.New(t)
	// Given a server,
	mux := http.NewServeMux()
	callEcho.Handle(mux, func(_ context.Context, question *note) (*note, error) {
		if question.Text == "" {
			return nil, errors.New("not now")
		}
		return question, nil
	})
	listening := listener(c)
	address := listening.Addr().String()
	server := rpc.NewServer(fixed{listening}, mux)
	c.Assert(server.Serve(address), qt.IsNil)
	defer server.Close()
	// when a call arrives,
	connection, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	_, err = connection.Write([]byte("POST /test/Echo HTTP/1.1\r\nHost: a\r\nContent-Type: application/cbor\r\nContent-Length: 4\r\n\r\n\xa1\x01\x61a"))
	c.Assert(err, qt.IsNil)
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	c.Assert(err, qt.IsNil)
	// then its response has the headers for encoding and length, and the library's header that disables compression.
	want := http.Header{"Content-Type": {"application/cbor"}, "Content-Length": {"4"}, "Accept-Encoding": {""}}
	c.Assert(answer.Header, qt.DeepEquals, want)
	// An error of the handler becomes an error of the call.
	_, err = callEcho.Call(t.Context(), rpc.NewClient(network.System{}), address, &note{})
	c.Assert(err, qt.ErrorMatches, "rpc: check that the peer runs.*not now")
	c.Assert(rpc.Error.Has(err), qt.IsTrue)
}

// listener listens on a loopback port that the system chooses.
func listener(c *qt.C) net.Listener {
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return listening
}

// fixed is the system's network, but Listen returns an existing listener.
type fixed struct{ listening net.Listener }

func (f fixed) Listen(string) (net.Listener, error) { return f.listening, nil }

func (f fixed) Dial(ctx context.Context, address string, terms network.Terms) (net.Conn, error) {
	return network.System{}.Dial(ctx, address, terms)
}

func (f fixed) ListenPacket(address string) (net.PacketConn, error) {
	return network.System{}.ListenPacket(address)
}
