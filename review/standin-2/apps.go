package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hold is a span in which a caller counts itself the holder of a lock.
type hold struct {
	lock, owner  string
	fence        uint64
	asked        time.Time // when the call was sent that got the fence
	got          time.Time
	until        time.Time // end of the span
	grantedFence uint64
}

// put is a put and its answer.
type put struct {
	key, value string
	expected   uint64
	sent, done time.Time
	revision   uint64 // 0: no clear answer, or rejected
	rejected   bool
	unclear    bool
}

// look is a read.
type look struct {
	key, value string
	revision   uint64
	sent       time.Time
}

// number is a drawn number.
type number struct {
	name       string
	value      uint64
	sent, done time.Time
}

// told is one answer of a watch.
type told struct {
	group       string
	after, upTo uint64
	events      []event
}

type event struct {
	Name     string `json:"name"`
	Amount   string `json:"amount"`
	Revision uint64 `json:"revision"`
}

// apps are applications that call for coordination, and what they have seen.
type apps struct {
	fleet *fleet
	mu    sync.Mutex
	holds []hold
	puts  []put
	looks []look
	draws []number
	told  []told
	tally map[string]int
	bad   []string
}

func (a *apps) count(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tally[what]++
}

// call asks one control member after the other until an answer is clear or the limit has passed. sentAt is when the call was
// sent that got the answer, and first when the first one was.
func (a *apps) call(method, path, body string, limit time.Duration) (status int, answer map[string]json.RawMessage, first, sentAt time.Time, unclear bool) {
	first = time.Now()
	for turn := rand.IntN(3); ; turn++ {
		sentAt = time.Now()
		request, _ := http.NewRequest(method, "http://"+a.fleet.control(turn%3)+path, strings.NewReader(body))
		response, err := caller.Do(request)
		if err == nil {
			text, failed := io.ReadAll(response.Body)
			_ = response.Body.Close()
			status = response.StatusCode
			if failed == nil && status < 500 && status != 429 {
				answer = map[string]json.RawMessage{}
				_ = json.Unmarshal(text, &answer)
				return status, answer, first, sentAt, unclear
			}
			unclear = unclear || status != 503 && status != 429
		} else {
			unclear = true
		}
		if time.Since(first) > limit {
			return 0, nil, first, sentAt, unclear
		}
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
	}
}

func whole(answer map[string]json.RawMessage, name string) uint64 {
	value, _ := strconv.ParseUint(string(answer[name]), 10, 64)
	return value
}

func text(answer map[string]json.RawMessage, name string) string {
	var value string
	_ = json.Unmarshal(answer[name], &value)
	return value
}

// locker takes locks, holds them for a while, and gives them back, forgets them or sleeps past their time.
func (a *apps) locker(owner string, locks int, until time.Time) {
	for time.Now().Before(until) {
		lock := fmt.Sprintf("l%d", rand.IntN(locks))
		length := time.Duration(300+rand.IntN(2700)) * time.Millisecond
		status, answer, _, sentAt, _ := a.call("POST", "/v1/Locks.Start/"+lock, fmt.Sprintf(`{"owner":%q,"hold_ms":%d}`, owner, length.Milliseconds()), 2*time.Second)
		a.count(fmt.Sprint("start ", status))
		if status != 200 {
			time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			continue
		}
		now := time.Now()
		h := hold{lock: lock, owner: owner, fence: whole(answer, "fence_number"), asked: sentAt, got: now, until: sentAt.Add(length)}
		for now.Before(h.until) && rand.IntN(4) > 0 {
			time.Sleep(min(time.Duration(rand.Int64N(int64(length)/2+1)), max(time.Until(h.until), 0)))
			next := time.Duration(300+rand.IntN(2700)) * time.Millisecond
			status, _, _, at, _ := a.call("POST", "/v1/Locks.Beat/"+lock, fmt.Sprintf(`{"owner":%q,"fence_number":%d,"hold_ms":%d}`, owner, h.fence, next.Milliseconds()), 500*time.Millisecond)
			a.count(fmt.Sprint("beat ", status))
			now = time.Now()
			if status == 200 && now.Before(h.until) {
				h.until = at.Add(next)
			} else if status == 409 {
				h.until = minTime(h.until, now)
				break
			}
		}
		if rand.IntN(3) > 0 && time.Now().Before(h.until) {
			h.until = time.Now()
			a.endAll(owner, lock, h.until)
			_, _, _, _, _ = a.call("POST", "/v1/Locks.Finish/"+lock, fmt.Sprintf(`{"owner":%q,"fence_number":%d}`, owner, h.fence), time.Second)
		}
		a.mu.Lock()
		a.holds = append(a.holds, h)
		a.mu.Unlock()
	}
}

// endAll ends all holds of a lock by an owner: it gives the lock back.
func (a *apps) endAll(owner, lock string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.holds {
		if a.holds[i].owner == owner && a.holds[i].lock == lock {
			a.holds[i].until = minTime(a.holds[i].until, at)
		}
	}
}

func minTime(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}

// putter puts and reads keys and draws numbers.
func (a *apps) putter(owner string, until time.Time) {
	known := map[string]uint64{}
	for i := 0; time.Now().Before(until); i++ {
		key := fmt.Sprintf("g%d.k%d", rand.IntN(3), rand.IntN(6))
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		switch rand.IntN(4) {
		case 0:
			status, answer, sent, _, _ := a.call("POST", "/v1/numbers/n"+fmt.Sprint(rand.IntN(3)), "{}", 2*time.Second)
			a.count(fmt.Sprint("number ", status))
			_ = answer
			if status == 200 {
				continue
			}
			_ = sent
		case 1:
			name := "n" + fmt.Sprint(rand.IntN(3))
			status, answer, _, sentAt, _ := a.call("POST", "/v1/numbers/"+name, "{}", 2*time.Second)
			if status == 200 {
				a.mu.Lock()
				a.draws = append(a.draws, number{name, whole(answer, "amount"), sentAt, time.Now()})
				a.mu.Unlock()
			}
		case 2:
			status, answer, _, sentAt, _ := a.call("GET", "/v1/Cells.Read/"+key, "", 2*time.Second)
			a.count(fmt.Sprint("read ", status))
			if status == 200 || status == 404 {
				known[key] = whole(answer, "revision")
				a.mu.Lock()
				a.looks = append(a.looks, look{key, text(answer, "amount"), whole(answer, "revision"), sentAt})
				a.mu.Unlock()
			}
		case 3:
			p := put{key: key, value: fmt.Sprintf("%s-%d", owner, i), expected: known[key]}
			status, answer, first, _, unclear := a.call("POST", "/v1/Cells.Replace/"+key, fmt.Sprintf(`{"amount":%q,"expected":%d}`, p.value, p.expected), 4*time.Second)
			a.count(fmt.Sprint("put ", status))
			p.sent, p.done = first, time.Now()
			p.unclear = status != 200 && unclear
			p.rejected = status == 412
			if status == 200 {
				p.revision = whole(answer, "revision")
			}
			known[key] = whole(answer, "revision")
			a.mu.Lock()
			a.puts = append(a.puts, p)
			a.mu.Unlock()
		}
	}
}

// watcher follows a group.
func (a *apps) watcher(group string, until time.Time) {
	after := uint64(0)
	for time.Now().Before(until) {
		request, _ := http.NewRequest("GET", fmt.Sprintf("http://%s/v1/watch/%s?after=%d&queue_ms=1000", a.fleet.control(rand.IntN(3)), group, after), nil)
		response, err := (&http.Client{Timeout: 3 * time.Second}).Do(request)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		var answer struct {
			Events   []event `json:"events"`
			Revision uint64  `json:"revision"`
		}
		failed := json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		a.count(fmt.Sprint("watch ", response.StatusCode))
		if response.StatusCode == 410 {
			a.mu.Lock()
			a.bad = append(a.bad, fmt.Sprintf("LOST: watch of %s after %d got 410", group, after))
			a.mu.Unlock()
			after = 0
		}
		if failed != nil || response.StatusCode != 200 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		a.mu.Lock()
		a.told = append(a.told, told{group, after, answer.Revision, answer.Events})
		a.mu.Unlock()
		if after == 0 && answer.Revision == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		after = answer.Revision
	}
}

// locks plays applications under trouble at the control members.
func locks(program string) int {
	length, _ := strconv.Atoi(os.Getenv("LENGTH"))
	f, err := newFleet(program, 0, true)
	if err == nil {
		defer f.end()
		err = f.start()
	}
	if err != nil {
		fmt.Println(err)
		return 2
	}
	a := &apps{fleet: f, tally: map[string]int{}}
	if status, _, _, _, _ := a.call("GET", "/v1/Cells.Read/x.y", "", 15*time.Second); status != 404 {
		fmt.Println("not served", status)
		return 2
	}
	end := time.Now().Add(time.Duration(length) * time.Second)
	var working sync.WaitGroup
	for i := range 14 {
		working.Go(func() { a.locker(fmt.Sprintf("a%d", i), 4, end) })
	}
	for i := range 8 {
		working.Go(func() { a.putter(fmt.Sprintf("p%d", i), end) })
	}
	for i := range 3 {
		working.Go(func() { a.watcher(fmt.Sprintf("g%d.", i), end) })
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
		if os.Getenv("MODE") == "calm" {
			continue
		}
		c := f.controls[rand.IntN(3)]
		switch rand.IntN(5) {
		case 0:
			c.kill()
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			_ = c.start()
		case 1, 2:
			c.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rand.IntN(4000)) * time.Millisecond)
			c.signal(syscall.SIGCONT)
		case 3:
			for _, c := range f.controls {
				c.kill()
			}
			for _, c := range f.controls {
				_ = c.start()
			}
		case 4:
			c.signal(syscall.SIGTERM)
			for began := time.Now(); c.alive() && time.Since(began) < 8*time.Second; {
				time.Sleep(10 * time.Millisecond)
			}
			c.kill()
			_ = c.start()
		}
	}
	working.Wait()
	fmt.Println(a.tally, len(a.holds), "holds", len(a.puts), "puts", len(a.looks), "reads", len(a.draws), "numbers", len(a.told), "watches")
	broken := a.judge()
	for i, text := range broken {
		if i < 30 {
			fmt.Println(text)
		}
	}
	fmt.Println(len(broken), "broken")
	return 0
}
