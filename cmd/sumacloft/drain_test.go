package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sumacloft/internal/standin"
)

// caller is a client's connection, which is used for one request after the other.
type caller struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, listen string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	return &caller{c, bufio.NewReader(c)}
}

func request(id string, body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: c\r\nRequest-Timeout: 4000m\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}

// told is what became of a request.
type told struct {
	status int
	whole  bool // to the last chunk
	close  bool // the answer said that the connection ends
}

func (c *caller) answer() (told, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return told{}, err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return told{resp.StatusCode, err == nil && strings.HasSuffix(string(body), "[DONE]\n\n"), resp.Close}, err
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}

// streaming is a worker whose streams end as the test lets them, or at once; it counts what it is sent.
func streaming(t *testing.T, hold <-chan struct{}, sent *atomic.Int64) string {
	return standin.HTTP(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodPost {
			return
		}
		sent.Add(1)
		_, _ = io.WriteString(w, "data: begun\n\n")
		w.(http.Flusher).Flush()
		if strings.HasPrefix(req.Header.Get("Request-Id"), "held") {
			<-hold
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
}

// After SIGTERM (here: the end of the context) clients go on sending on every connection that stays open, up to the
// kill: a request that has begun to come, in the head or in the body, at whatever time, is answered and the connection's
// end told with it. What comes whole too late to be sure of its end by the kill is refused, and no worker hears of it. A
// stream that its worker finishes long after the signal is passed on to its end.
func TestEveryOpenConnectionIsAnswered(t *testing.T) {
	hold := make(chan struct{})
	listen, path := free(t), filepath.Join(t.TempDir(), "config.json")
	var sent atomic.Int64
	configure(t, path, listen, free(t), member("s", streaming(t, hold, &sent)))
	t.Setenv("PROXY_CONFIG", path)
	r, terminate, stopped := start(t)
	standin.Eventually(t, 2*time.Second, "ready", r.desk.ready.Load)
	body := `{"model":"m","messages":"` + strings.Repeat("x", 64<<10) + `"}`
	type piecemeal struct {
		*caller
		name string
		rest string
	}
	var begun []piecemeal
	begin := func(name string, cut func(string) int) { // on a connection that was used before: net/http takes it for idle
		c := dial(t, listen)
		_, _ = io.WriteString(c, request("first-"+name, "{}"))
		if got, err := c.answer(); err != nil || !got.whole || got.close {
			t.Fatalf("%s: before the signal %+v, %v", name, got, err)
		}
		text := request(name, body)
		_, _ = io.WriteString(c, text[:cut(text)])
		begun = append(begun, piecemeal{c, name, text[cut(text):]})
	}
	held := dial(t, listen)
	_, _ = io.WriteString(held, request("held-1", "{}"))
	begin("one-byte", func(string) int { return 1 })
	begin("half-a-head", func(string) int { return 60 })
	begin("head-only", func(s string) int { return strings.Index(s, "\r\n\r\n") + 4 })
	begin("half-a-body", func(s string) int { return len(s) / 2 })
	soon := begun
	begun = nil
	for _, name := range []string{"late-one-byte", "late-half-a-body"} {
		begin(name, func(s string) int { return 1 + len(s)/2*one(strings.HasSuffix(name, "body")) })
	}
	time.Sleep(50 * time.Millisecond) // the pieces are read
	terminated := time.Now()
	terminate()
	time.Sleep(owes/2 + time.Until(terminated))
	for _, c := range soon {
		_, _ = io.WriteString(c, c.rest)
		if got, err := c.answer(); err != nil || got.status != 200 || !got.whole || !got.close {
			t.Errorf("%s, ended %v after the signal: %+v, %v", c.name, time.Since(terminated), got, err)
		}
	}
	time.Sleep(lingers + 3*sweeps/10 + time.Until(terminated)) // nobody can come any more
	standin.Eventually(t, 2*time.Second, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", listen)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	before := sent.Load()
	for _, c := range begun {
		_, _ = io.WriteString(c, c.rest)
		asked := time.Now()
		if got, err := c.answer(); err != nil || got.status != http.StatusServiceUnavailable || !got.close || time.Since(asked) > 300*time.Millisecond {
			t.Errorf("%s, ended %v after the signal: %+v, %v", c.name, time.Since(terminated), got, err)
		}
	}
	if n := sent.Load() - before; n != 0 {
		t.Errorf("%d requests went to the worker that came too late to be sure of their end", n)
	}
	close(hold)
	if got, err := held.answer(); err != nil || !got.whole {
		t.Errorf("the stream that its worker finished %v after the signal: %+v, %v", time.Since(terminated), got, err)
	}
	if err := <-stopped; err != nil || time.Since(terminated) > 3*time.Second {
		t.Errorf("stopped %v after the signal with %v", time.Since(terminated), err)
	}
}

// Clients that send one request after the other over the signal, each as soon as it has its answer: every request is
// answered, or its connection was closed before a byte of an answer, and then it was told of before or was free to close.
func TestSendingOverTheSignal(t *testing.T) {
	const callers = 12
	hold := make(chan struct{})
	listen, path := free(t), filepath.Join(t.TempDir(), "config.json")
	configure(t, path, listen, free(t), member("s", streaming(t, hold, &atomic.Int64{})))
	t.Setenv("PROXY_CONFIG", path)
	r, terminate, stopped := start(t)
	standin.Eventually(t, 2*time.Second, "ready", r.desk.ready.Load)
	var mu sync.Mutex
	answered, after, refused, torn := 0, 0, 0, 0
	var end atomic.Int64 // the time of the signal, in nanoseconds; far ahead until enough has been answered
	end.Store(time.Now().Add(time.Hour).UnixNano())
	var all sync.WaitGroup
	for n := range callers {
		all.Go(func() {
			c := dial(t, listen)
			for i := 0; ; i++ {
				if n%2 == 0 { // these leave their connection without a request now and then
					time.Sleep(time.Duration(i%7) * time.Millisecond)
				}
				terminated := time.Unix(0, end.Load())
				if left := time.Until(terminated); n == 1 && left > 0 && left < 120*time.Millisecond {
					time.Sleep(left) // this one has no request when the signal comes, and sends one right then
				}
				sent, id := time.Now(), fmt.Sprintf("r-%d-%d", n, i)
				if left := terminated.Sub(sent); n%3 == 0 && left > 0 && left < 100*time.Millisecond {
					id = "held-" + id // its answer has begun, and does not tell of the signal
				}
				_, _ = io.WriteString(c, request(id, "{}"))
				got, err := c.answer()
				terminated = time.Unix(0, end.Load()) // it may have been settled meanwhile
				mu.Lock()
				switch {
				case err == nil && got.status == 200 && got.whole:
					if answered++; sent.After(terminated) {
						after++
					}
				case err == nil && got.status == http.StatusServiceUnavailable && got.close && sent.After(terminated.Add(owes-100*time.Millisecond)):
					refused++
				case got == told{} && sent.After(terminated.Add(-sweeps)) && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isReset(err)):
					torn++
				default:
					t.Errorf("caller %d, request %d, sent %v after the signal: %+v, %v", n, i, sent.Sub(terminated), got, err)
				}
				mu.Unlock()
				if err != nil || got.close || time.Since(terminated) > 3*time.Second {
					return
				}
			}
		})
	}
	standin.Eventually(t, 10*time.Second, "enough answered before the signal", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return answered >= 10*callers
	})
	end.Store(time.Now().Add(150 * time.Millisecond).UnixNano()) // by then some answers are held
	time.Sleep(time.Until(time.Unix(0, end.Load())))
	terminate()
	time.Sleep(lingers + 200*time.Millisecond) // nobody new can come
	close(hold)
	all.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if answered < 10*callers || after == 0 || after+refused < callers/3 || torn > 1 {
		t.Errorf("%d answered, %d of them sent after the signal, %d of %d connections closed under a request", answered, after, torn, callers)
	}
	t.Logf("%d answered, %d of them sent after the signal, %d refused, %d closed under a request", answered, after, refused, torn)
}

func isReset(err error) bool {
	return errors.Is(err, io.ErrClosedPipe) || strings.Contains(fmt.Sprint(err), "reset") || strings.Contains(fmt.Sprint(err), "broken pipe")
}
