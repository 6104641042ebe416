package calls

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"sumacloft/brain"
)

// Error is the class of faults of clients' requests.
var Error = errs.Class("request")

// Request is a client's request as it was taken.
type Request struct {
	ID       string // X-Request-Id, as the client sent it
	Method   string
	URI      string
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time // the client's, or the route's if that comes first
	Terms    Terms
	Class    int // of the route, in the lane's settings
	Prompt   Prompt
}

// Terms are what a route says of its requests.
type Terms struct {
	Streaming  bool // the answer is a stream of events
	Repeatable bool // a request may run more than once
	MaxRuns    int  // workers that one request may be run by
	Priority   int  // among other work at a worker, from 0, the most urgent, to 9
}

// Prompt describes what a model worker is to read and write, in tokens.
type Prompt struct {
	Tokens       float64 // of the whole prompt
	MaxTokens    float64
	Prefix       uint64  // key of the longest beginning that other requests share; 0: none
	PrefixTokens float64 // its tokens
	Session      uint64  // key of the last part; 0: none
}

// reservedHeaders are never passed on: they concern one connection only, or are the system's to set.
var reservedHeaders = []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
	"Content-Length", "Expect", "Host", headerTimeLeft, headerMeantServer, headerStage, headerKvFrom, headerPriority, "Expect-Version"}

// ReadPrompt takes the description of a prompt out of X-Token-Count and X-Prompt-Start. Requests without them have an
// empty one; what can't be read is passed over, as it only serves the choice of a worker.
func ReadPrompt(header http.Header) Prompt {
	var prompt Prompt
	in, out, _ := strings.Cut(header.Get("X-Token-Count"), ",")
	prompt.Tokens = number(in)
	prompt.MaxTokens = number(out)
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
		prompt.PrefixTokens += number(size)
	}
	return prompt
}

// number reads a count; what is none counts as 0.
func number(text string) float64 {
	value, err := strconv.ParseUint(strings.TrimSpace(text), 10, 40)
	if err != nil {
		return 0
	}
	return float64(value)
}

// arrival is the request as the decision module sees it.
func (r *Request) arrival(id brain.RequestID) brain.Arrived {
	return brain.Arrived{
		Request:      id,
		Class:        r.Class,
		Session:      r.Prompt.Session,
		Prefix:       r.Prompt.Prefix,
		PromptTokens: r.Prompt.Tokens,
		PrefixTokens: r.Prompt.PrefixTokens,
		MaxTokens:    r.Prompt.MaxTokens,
		Left:         time.Until(r.Deadline),
		Resumed:      r.Header.Get(headerLastEvent) != "",
	}
}

// encode is the request as it goes to a worker, with the time that is left and the headers of this call.
func (r *Request) encode(deadline time.Time, headers ...string) []byte {
	left := max(time.Until(deadline).Milliseconds(), 1)
	var out strings.Builder
	out.Grow(1024 + len(r.Body))
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
	out.Write(r.Body)
	return []byte(out.String())
}
