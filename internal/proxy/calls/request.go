package calls

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"sumacloft/brain"
	"sumacloft/internal/inflight"
	"sumacloft/internal/upstream"
)

// Error is the class of errors in clients' requests.
var Error = errs.Class("request")

// Request is a client's request as received.
type Request struct {
	ID       string // X-Request-Id, as the client sent it
	Method   string
	URI      string
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time // the client's or the route's, whichever is earlier
	Terms    Terms
	Class    int // index of the route in the lane's settings
	Prompt   Prompt
	Holder   *inflight.Holder // accounts for the request and for answers that are read whole; may be nil
}

// Terms are a route's settings for its requests.
type Terms struct {
	Streaming  bool // the answer is a stream of events
	Repeatable bool // a request may run more than once
	MaxRuns    int  // maximum number of workers that may run one request
	Priority   int  // priority at the worker, from 0 (most urgent) to 9
}

// Prompt describes the tokens that a model worker reads and writes.
type Prompt struct {
	Tokens       float64 // of the whole prompt
	MaxTokens    float64
	Prefix       uint64  // key of the longest prefix shared with other requests; 0 if none
	PrefixTokens float64 // size of that prefix
	Session      uint64  // key of the last part; 0 if none
}

// reservedHeaders are never forwarded. They concern a single connection, or are set by the proxy only.
var reservedHeaders = []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
	"Content-Length", "Expect", "Host", headerTimeLeft, headerMeantServer, headerStage, headerKvFrom, headerPriority, "Expect-Version"}

// ReadPrompt reads the description of a prompt from X-Token-Count and X-Prompt-Start. Invalid parts are ignored, as the
// description only serves the choice of a worker. The result is empty without these headers.
func ReadPrompt(header http.Header) Prompt {
	var prompt Prompt
	in, out, _ := strings.Cut(header.Get("X-Token-Count"), ",")
	prompt.Tokens = parseCount(in)
	prompt.MaxTokens = parseCount(out)
	parts := strings.Split(header.Get("X-Prompt-Start"), ",")
	for i, part := range parts {
		id, size, found := strings.Cut(strings.TrimSpace(part), ":")
		if !found {
			continue
		}
		key, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			continue
		}
		if i == len(parts)-1 {
			prompt.Session = key
			continue
		}
		prompt.Prefix = key
		prompt.PrefixTokens += parseCount(size)
	}
	return prompt
}

// parseCount parses a count. Invalid text counts as 0.
func parseCount(text string) float64 {
	value, err := strconv.ParseUint(strings.TrimSpace(text), 10, 40)
	if err != nil {
		return 0
	}
	return float64(value)
}

// arrival returns the request as the decision module sees it.
func (r *Request) arrival(id brain.RequestID) brain.Arrived {
	return brain.Arrived{
		Request:      id,
		Class:        r.Class,
		Session:      r.Prompt.Session,
		Prefix:       r.Prompt.Prefix,
		PromptTokens: r.Prompt.Tokens,
		PrefixTokens: r.Prompt.PrefixTokens,
		MaxTokens:    r.Prompt.MaxTokens,
		Timeout:      time.Until(r.Deadline),
		Resumed:      r.Header.Get(headerLastEvent) != "",
	}
}

const (
	// headRoom is the room that an encoded head begins with.
	headRoom = 1 << 10
	// joinedBody is the size up to which a body is copied behind its head, so that one write sends both.
	joinedBody = 16 << 10
)

// encode returns the request as sent to a worker, with the remaining time and the headers of this call.
func (r *Request) encode(deadline time.Time, headers ...string) upstream.Message {
	left := max(time.Until(deadline).Milliseconds(), 1)
	var out bytes.Buffer
	out.Grow(headRoom + min(len(r.Body), joinedBody))
	out.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		if slices.Contains(reservedHeaders, name) {
			continue
		}
		for _, value := range values {
			out.WriteString(name + ": " + value + "\r\n")
		}
	}
	out.WriteString(headerPriority + ": " + strconv.Itoa(r.Terms.Priority) + "\r\n")
	out.WriteString(headerTimeLeft + ": " + strconv.FormatInt(left, 10) + "\r\n")
	for i := 0; i+1 < len(headers); i += 2 {
		out.WriteString(headers[i] + ": " + headers[i+1] + "\r\n")
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	if len(r.Body) > joinedBody {
		return upstream.Message{Head: out.Bytes(), Body: r.Body}
	}
	out.Write(r.Body)
	return upstream.Message{Head: out.Bytes()}
}
