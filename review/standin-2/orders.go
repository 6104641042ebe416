package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// order is a change of the operator's and what became of it.
type order struct {
	version, builtOn int
	body             []byte
	mark             string // a name that only this order writes
	sent, done       time.Time
	status           int // of the clear answer; 0: none
	unclear          bool
	again            int // status of the same order sent again at once
}

// seenVersion is one read of the configuration.
type seenVersion struct {
	version int
	mark    string
	sent    time.Time
}

func readConfiguration(address string) (version int, mark string, status int) {
	response, err := caller.Get("http://" + address + "/v1/Settings.Read")
	if err != nil {
		return 0, "", 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	var document struct {
		Version int `json:"version"`
		Marks   []struct {
			Name string `json:"name"`
			At   string `json:"at"`
		} `json:"marks"`
	}
	if err != nil || response.StatusCode != 200 || json.Unmarshal(body, &document) != nil {
		return 0, "", response.StatusCode
	}
	for _, m := range document.Marks {
		mark = m.At
	}
	return document.Version, mark, 200
}

// orders plays operators that change the configuration under trouble at the control members.
func orders(program string) int {
	length, _ := strconv.Atoi(os.Getenv("LENGTH"))
	f, err := newFleet(program, 0, false)
	if err == nil {
		defer f.end()
		err = f.start()
	}
	if err == nil {
		err = f.configure("0", configuration(1), 20*time.Second)
	}
	if err != nil {
		fmt.Println(err)
		return 2
	}
	end := time.Now().Add(time.Duration(length) * time.Second)
	var mu sync.Mutex
	var all []*order
	var seen []seenVersion
	var working sync.WaitGroup
	for operator := range 4 {
		working.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				version, mark, status := 0, "", 0
				sent := time.Now()
				version, mark, status = readConfiguration(f.control(rand.IntN(3)))
				if status != 200 {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				mu.Lock()
				seen = append(seen, seenVersion{version, mark, sent})
				mu.Unlock()
				o := &order{version: version + 1 + rand.IntN(3), builtOn: version, mark: fmt.Sprintf("o%d-%d", operator, i)}
				o.body = fmt.Appendf(nil, `{"version":%d,"add":{"marks":[{"name":"last","at":%q}]}}`, o.version, o.mark)
				o.sent = time.Now()
				for turn := rand.IntN(3); time.Since(o.sent) < 6*time.Second; turn++ {
					status, _, err := post(f.control(turn%3), "/v1/Settings.Change", fmt.Sprint(o.builtOn), o.body)
					if err == nil && (status < 500 && status != 429 && status != 408) {
						o.status = status
						break
					}
					o.unclear = true
					time.Sleep(50 * time.Millisecond)
				}
				o.done = time.Now()
				if o.status == 200 && rand.IntN(3) == 0 {
					o.again, _, _ = post(f.control(rand.IntN(3)), "/v1/Settings.Change", fmt.Sprint(o.builtOn), o.body)
				}
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rand.IntN(2000)) * time.Millisecond)
		c := f.controls[rand.IntN(3)]
		switch rand.IntN(4) {
		case 0:
			c.kill()
			time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
			_ = c.start()
		case 1:
			c.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rand.IntN(3000)) * time.Millisecond)
			c.signal(syscall.SIGCONT)
		case 2:
			for _, c := range f.controls {
				c.kill()
			}
			for _, c := range f.controls {
				_ = c.start()
			}
		case 3:
			c.signal(syscall.SIGTERM)
			for began := time.Now(); c.alive() && time.Since(began) < 8*time.Second; {
				time.Sleep(10 * time.Millisecond)
			}
			c.kill()
			_ = c.start()
		}
	}
	working.Wait()
	time.Sleep(2 * time.Second)
	version, mark, status := readConfiguration(f.control(0))
	seen = append(seen, seenVersion{version, mark, time.Now()})
	broken := 0
	say := func(format string, arguments ...any) {
		broken++
		fmt.Printf(format+"\n", arguments...)
	}
	counts := map[int]int{}
	bases := map[int]*order{}
	marks := map[string]*order{}
	for _, o := range all {
		counts[o.status]++
		marks[o.mark] = o
		if o.status == 200 {
			if other := bases[o.builtOn]; other != nil {
				say("CONFIG: %s and %s were both taken on %d", o.mark, other.mark, o.builtOn)
			}
			bases[o.builtOn] = o
			if o.again >= 400 && o.again < 500 {
				say("CONFIG: %s was taken and then refused with %d", o.mark, o.again)
			}
		}
		for _, s := range seen {
			if o.status == 200 && o.done.Before(s.sent) && s.version < o.version {
				say("CONFIG: read of %d after %d was acknowledged", s.version, o.version)
			}
		}
	}
	for _, s := range seen {
		o := marks[s.mark]
		if s.version > 1 && (o == nil || o.version != s.version || o.status == 412 || o.status == 400) {
			say("CONFIG: version %d with %q is in force: %+v", s.version, s.mark, o)
		}
	}
	fmt.Println(len(all), "orders", counts, len(seen), "reads, at the end", version, status, broken, "broken")
	return min(broken, 1)
}
