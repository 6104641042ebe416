package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// breaking ends every watch after a time.
type breaking struct {
	*holder
	after time.Duration
}

func (b breaking) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Query().Has("stream") {
		ctx, stop := context.WithTimeout(req.Context(), b.after)
		defer stop()
		req = req.WithContext(ctx)
	}
	b.holder.ServeHTTP(w, req)
}

// indented lays a list out over lines, as some agents do.
func indented(t *testing.T, list string) string {
	t.Helper()
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(list), "\t", "  "); err != nil {
		t.Fatal(err)
	}
	return strings.ReplaceAll(b.String(), "\n", "\r\n") + "\r\n"
}

const (
	whole = `{"revision":1,"complete":true,"members":[{"id":"a {\"}]","phase":"SERVING","size":1.5e0},{"id":"b","phase":"DRAINING"}]}`
	part  = `{"revision":2,"complete":false,"members":[{"id":"a {\"}]","phase":"DRAINING"}]}`
	last  = `{"revision":3,"complete":false,"members":[]}`
)

// A list may come indented, and the stream may be cut into pieces at any byte, with time between them.
func TestListsInPieces(t *testing.T) {
	for _, lay := range []func(string) string{func(l string) string { return l + "\n" }, func(l string) string { return indented(t, l) }} {
		first, second := lay(whole), "\n"+lay(part)+"\n"+lay(last)
		for cut := 0; cut <= max(len(first), len(second)); cut++ {
			synctest.Test(t, func(t *testing.T) {
				pieces := func(w http.ResponseWriter, text string) {
					for _, piece := range []string{text[:min(cut, len(text))], text[min(cut, len(text)):]} {
						_, _ = io.WriteString(w, piece)
						w.(http.Flusher).Flush()
						time.Sleep(400 * time.Millisecond)
					}
				}
				told, _ := watched(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
					switch req.URL.Query().Get("index") {
					case "":
						pieces(w, first)
					case "1":
						pieces(w, second)
						fallthrough
					default:
						<-req.Context().Done()
					}
				}), &Pace{}, From{}, 2500*time.Millisecond)
				if want := []string{"1 SERVING DRAINING", "2 DRAINING", "3"}; !slices.Equal(told, want) {
					t.Errorf("cut at byte %d of %q: told %q", cut, first, told)
				}
			})
		}
	}
}

// A list that is cut off at any byte, by the end of the answer or with the connection, is never taken for a list, for a
// whole one above all; and what follows it is heard.
func TestListsCutOff(t *testing.T) {
	for _, broken := range []bool{false, true} {
		for _, text := range []string{whole, indented(t, whole)} {
			for cut := range strings.TrimRight(text, "\r\n") {
				synctest.Test(t, func(t *testing.T) {
					calls := 0
					told, _ := watched(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
						if calls++; calls == 1 {
							_, _ = io.WriteString(w, text[:cut])
							w.(http.Flusher).Flush()
							if broken {
								panic(http.ErrAbortHandler)
							}
							return
						}
						if !req.URL.Query().Has("stream") {
							_, _ = io.WriteString(w, `{"revision":9,"complete":true,"members":[]}`)
							return
						}
						<-req.Context().Done()
					}), &Pace{}, From{}, time.Second)
					if !slices.Equal(told, []string{"9"}) {
						t.Errorf("cut off after %d bytes of %q (broken: %v): told %q", cut, text, broken, told)
					}
				})
			}
		}
	}
}

// An agent whose answers hold nothing is asked again every now and then, not without a pause.
func TestEmptyAnswersArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var counted atomic.Int64 // each connection has a goroutine of its own
		told, _ := watched(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
			if counted.Add(1) > 1000 {
				<-req.Context().Done() // asked without end: let time go by
			}
		}), &Pace{}, From{}, 10*time.Second)
		calls := int(counted.Load())
		if most := int(10*time.Second/localRetryDelay) + 1; calls > most || calls < most/2 || len(told) > 0 {
			t.Errorf("%d calls in 10 s, at most %d are wanted; told %s", calls, most, fmt.Sprint(told))
		}
	})
}
