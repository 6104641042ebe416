package calls

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pgregory.net/rapid"
	"sumacloft/internal/upstream"
)

// parsed returns an encoded request as a worker parses it.
func parsed(c *qt.C, encoded upstream.Message) *http.Request {
	whole := append(bytes.Clone(encoded.Head), encoded.Body...)
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(whole)))
	c.Assert(err, qt.IsNil)
	return request
}

func TestClientCannotSetReservedHeaders(t *testing.T) {
	c := qt.New(t)
	// Given a client that sends every reserved header,
	header := http.Header{"X-Request-Id": {"1"}, "X-Other": {"stays"}}
	for _, name := range reservedHeaders {
		header.Set(name, "from the client")
	}
	request := &Request{ID: "1", Method: "POST", URI: "/a/b?c=d", Host: "h.example", Header: header, Body: []byte("body"),
		Deadline: time.Now().Add(time.Second), Terms: Terms{Priority: 4}}
	// when the request is sent to a worker,
	got := parsed(c, request.encode(request.Deadline, headerMeantServer, "i-1"))
	// then the reserved headers have the proxy's values, and the rest is as the client sent it.
	c.Assert(got.Header.Get(headerMeantServer), qt.Equals, "i-1")
	c.Assert(got.Header.Get(headerPriority), qt.Equals, "4")
	for _, name := range []string{headerStage, headerKvFrom, "Expect-Version", "Upgrade", "Te", "Keep-Alive"} {
		c.Assert(got.Header.Get(name), qt.Equals, "", qt.Commentf("%s", name))
	}
	c.Assert(got.Header.Get("X-Other"), qt.Equals, "stays")
	c.Assert(got.RequestURI, qt.Equals, "/a/b?c=d")
	c.Assert(got.Host, qt.Equals, "h.example")
	c.Assert(got.ContentLength, qt.Equals, int64(4))
}

func TestWorkerIsSentTheTimeLeft(t *testing.T) {
	c := qt.New(t)
	// Given a request that was received with 500 ms left and is sent 200 ms later,
	request := &Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{headerTimeLeft: {"500"}}}
	sent := parsed(c, request.encode(time.Now().Add(300*time.Millisecond)))
	// then the worker is sent at most the remaining 300 ms.
	left, err := strconv.Atoi(sent.Header.Get(headerTimeLeft))
	c.Assert(err, qt.IsNil)
	c.Assert(left <= 300 && left > 200, qt.IsTrue, qt.Commentf("%d ms", left))
	// And a request whose deadline has passed is sent the minimum, never a negative time.
	late := parsed(c, request.encode(time.Now().Add(-time.Second)))
	c.Assert(late.Header.Get(headerTimeLeft), qt.Equals, "1")
}

func TestReadPrompt(t *testing.T) {
	c := qt.New(t)
	header := http.Header{}
	header.Set("X-Token-Count", "1460,80")
	header.Set("X-Prompt-Start", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250")
	prompt := ReadPrompt(header)
	c.Assert(prompt, qt.Equals, Prompt{Tokens: 1460, MaxTokens: 80, Prefix: 0x91bd3f06, PrefixTokens: 1210, Session: 0xe4402b7d})
	c.Assert(ReadPrompt(http.Header{}), qt.Equals, Prompt{})
}

// Any header values can be read, and no size is negative.
func TestReadPromptAcceptsAnyHeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		header := http.Header{
			"X-Token-Count":  {rapid.String().Draw(t, "count")},
			"X-Prompt-Start": {rapid.StringMatching(`([0-9a-g]{0,4}:?-?[0-9]{0,4},?)*`).Draw(t, "start")},
		}
		prompt := ReadPrompt(header)
		if prompt.Tokens < 0 || prompt.MaxTokens < 0 || prompt.PrefixTokens < 0 {
			t.Fatalf("got negative sizes in %+v for headers %v", prompt, header)
		}
	})
}
