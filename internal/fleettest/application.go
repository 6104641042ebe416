package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"
)

// Application is a caller of locks, numbers and keys. It runs on the operator's machine and notes all that it sees.
type Application struct {
	Owner string
	fleet *Fleet
	http  *http.Client
	notes *coordinationNotes
	// loses tells whether the next answer is lost on its way, after the call took effect; nil: none is.
	loses func() bool
}

// applicationWait is how long an application waits for the answer to a call that does not queue.
const applicationWait = time.Second

func (f *Fleet) newApplication(owner string, notes *coordinationNotes) *Application {
	process := f.Network.Machine(operatorIP).Process()
	f.mu.Lock()
	f.ends = append(f.ends, process.Kill)
	f.mu.Unlock()
	return &Application{Owner: owner, fleet: f, http: clientOn(process, false), notes: notes}
}

// reply is the answer to any call; Status 0 says that none came.
type reply struct {
	Status   int
	Fence    uint64          `json:"fence_number"`
	Amount   json.RawMessage `json:"amount"`
	Revision uint64          `json:"revision"`
	Events   []struct {
		Name     string `json:"name"`
		Amount   string `json:"amount"`
		Revision uint64 `json:"revision"`
	} `json:"events"`
}

// text is an amount that is a text.
func (r reply) text() string { return strings.Trim(string(r.Amount), `"`) }

// clear reports whether the answer says what became of the call.
func (r reply) clear() bool {
	return r.Status != 0 && r.Status < 500 && r.Status != http.StatusTooManyRequests
}

func (a *Application) call(at *Control, method, path, body string, wait time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at.Steering()+path, strings.NewReader(body))
	if err != nil {
		return reply{}
	}
	response, err := a.http.Do(request)
	if err != nil {
		return reply{}
	}
	defer func() { _ = response.Body.Close() }() // it was read
	if a.loses != nil && a.loses() {
		<-ctx.Done()
		return reply{}
	}
	var answer reply
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return reply{}
	}
	answer.Status = response.StatusCode
	return answer
}

// Start asks for a lock, once.
func (a *Application) Start(at *Control, lock string, hold time.Duration) reply {
	sent := a.fleet.Now()
	got := a.call(at, http.MethodPost, "/v1/Locks.Start/"+lock, fmt.Sprintf(`{"owner":%q,"hold_ms":%d}`, a.Owner, hold.Milliseconds()), applicationWait)
	if got.Status == http.StatusOK {
		a.notes.granted(a, lock, got.Fence, sent, a.fleet.Now(), hold)
	}
	return got
}

// Beat asks for more time, once. An answer after the caller's time counts for nothing.
func (a *Application) Beat(at *Control, lock string, fence uint64, hold time.Duration) reply {
	sent := a.fleet.Now()
	got := a.call(at, http.MethodPost, "/v1/Locks.Beat/"+lock, fmt.Sprintf(`{"owner":%q,"fence_number":%d,"hold_ms":%d}`, a.Owner, fence, hold.Milliseconds()), applicationWait)
	if got.Status == http.StatusOK {
		a.notes.renewed(a, lock, fence, sent, a.fleet.Now(), hold)
	}
	return got
}

// Finish releases a lock, once.
func (a *Application) Finish(at *Control, lock string, fence uint64) reply {
	a.notes.finished(a, lock, fence, a.fleet.Now())
	return a.call(at, http.MethodPost, "/v1/Locks.Finish/"+lock, fmt.Sprintf(`{"owner":%q,"fence_number":%d}`, a.Owner, fence), applicationWait)
}

// Number draws a number, once.
func (a *Application) Number(at *Control, name string) reply {
	sent := a.fleet.Now()
	got := a.call(at, http.MethodPost, "/v1/numbers/"+name, "{}", applicationWait)
	if got.Status == http.StatusOK {
		a.notes.drawn(name, string(got.Amount), sent, a.fleet.Now())
	}
	return got
}

// Put puts a value, once.
func (a *Application) Put(at *Control, key, amount string, expected uint64) reply {
	return a.put(at, key, amount, expected, fmt.Sprintf(`{"amount":%q,"expected":%d}`, amount, expected))
}

// PutAlways puts a value whatever revision the key has, once.
func (a *Application) PutAlways(at *Control, key, amount string) reply {
	return a.put(at, key, amount, anyRevision, fmt.Sprintf(`{"amount":%q}`, amount))
}

func (a *Application) put(at *Control, key, amount string, expected uint64, body string) reply {
	sent := a.fleet.Now()
	got := a.call(at, http.MethodPost, "/v1/Cells.Replace/"+key, body, applicationWait)
	a.notes.put(key, amount, expected, got, sent, a.fleet.Now())
	return got
}

// anyRevision is the expected revision of a put that expects none.
const anyRevision = math.MaxUint64

// Read reads a key, once.
func (a *Application) Read(at *Control, key string) reply {
	sent := a.fleet.Now()
	got := a.call(at, http.MethodGet, "/v1/Cells.Read/"+key, "", applicationWait)
	if got.Status == http.StatusOK || got.Status == http.StatusNotFound {
		a.notes.read(key, got, sent)
	}
	return got
}

// Watch waits for events, once.
func (a *Application) Watch(at *Control, group string, after uint64, queue time.Duration) reply {
	path := fmt.Sprintf("/v1/watch/%s?after=%d&queue_ms=%d", group, after, queue.Milliseconds())
	got := a.call(at, http.MethodGet, path, "", queue+applicationWait)
	if got.Status == http.StatusOK || got.Status == http.StatusGone {
		a.notes.watched(group, after, got)
	}
	return got
}
