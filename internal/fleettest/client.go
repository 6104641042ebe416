package fleettest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sumacloft/internal/fleettest/memnet"
)

// clientIP is the address of the clients' machine.
const clientIP = "10.9.0.1"

// clientPatience is how long a client waits where a request says nothing else.
const clientPatience = 5 * time.Second

// Client stands for all clients. Each request comes on a new connection.
type Client struct {
	fleet   *Fleet
	process *memnet.Process
	http    *http.Client
	count   int
}

func newClient(f *Fleet) *Client {
	process := f.Network.Machine(clientIP).Process()
	f.ends = append(f.ends, process.Kill)
	return &Client{fleet: f, process: process, http: clientOn(process, false)}
}

// Answer is what became of a request. Use its fields once it is Done.
type Answer struct {
	ID       string
	Harmless bool // the request may run more than once
	Status   int  // 0: there was no answer
	Header   http.Header
	Body     string
	Events   int
	Err      error // why the answer did not come whole
	Whole    bool
	End      time.Duration

	cancel context.CancelFunc
	done   chan struct{}
	first  chan struct{} // closed with the first event or the end
}

// Done is closed once the answer has ended.
func (a *Answer) Done() <-chan struct{} { return a.done }

// Begun is closed once the first event has come, or the answer has ended.
func (a *Answer) Begun() <-chan struct{} { return a.first }

// Hangup has the client leave.
func (a *Answer) Hangup() { a.cancel() }

// Ask sends a request and waits for the whole answer.
func (c *Client) Ask(edge *Edge, path string) *Answer {
	answer := c.Start(edge, path)
	<-answer.done
	return answer
}

// Start sends a request. It must be called by one goroutine at a time.
func (c *Client) Start(edge *Edge, path string) *Answer {
	c.count++
	id := fmt.Sprintf("request-%d", c.count)
	ctx, cancel := context.WithTimeout(context.Background(), clientPatience)
	answer := &Answer{ID: id, Harmless: strings.HasPrefix(path, HarmlessPath), cancel: cancel, done: make(chan struct{}), first: make(chan struct{})}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.Front()+path, strings.NewReader("a prompt"))
	if err != nil {
		c.fleet.t.Fatal(err)
	}
	request.Host = Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Time-Left", strconv.FormatInt(clientPatience.Milliseconds(), 10))
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Count", "2000,20")
	request.Header.Set("X-Prompt-Start", fmt.Sprintf("aa:1200,%x:800", c.count))
	go func() {
		defer close(answer.done)
		defer cancel()
		c.carry(request, answer)
		answer.End = c.fleet.Now()
	}()
	return answer
}

// carry makes the call and reads the answer.
func (c *Client) carry(request *http.Request, answer *Answer) {
	begun := false
	begin := func() {
		if !begun {
			begun = true
			close(answer.first)
		}
	}
	defer begin()
	response, err := c.http.Do(request)
	if err != nil {
		answer.Err = err
		return
	}
	defer func() { _ = response.Body.Close() }() // it was read
	answer.Status, answer.Header = response.StatusCode, response.Header
	var body strings.Builder
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		body.WriteString(line)
		if strings.HasPrefix(line, "data:") {
			answer.Events++
			begin()
		}
		if err != nil {
			answer.Whole = errors.Is(err, io.EOF)
			answer.Body = body.String()
			answer.Err = err
			return
		}
	}
}

// get returns the status of a plain question; 0: there was no answer.
func (c *Client) get(url string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // nothing in it is wanted
	return response.StatusCode
}
