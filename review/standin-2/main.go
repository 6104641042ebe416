// Command standin-2 is the rig of this review's scripts: it starts a fleet of the project's own processes on loopback
// addresses, with stand-ins of workers, clients, the operator and applications.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 SCENARIO FLEETD")
		os.Exit(2)
	}
	if os.Args[1] == "locks" {
		os.Exit(locks(os.Args[2]))
	}
	if os.Args[1] == "orders" {
		os.Exit(orders(os.Args[2]))
	}
	if os.Args[1] == "probe" {
		os.Exit(probe(os.Args[2]))
	}
	os.Exit(chaos(os.Args[2]))
}

// chaos plays a while of mixed trouble.
func chaos(program string) int {
	length := 20
	if n, err := strconv.Atoi(os.Getenv("LENGTH")); err == nil {
		length = n
	}
	f, err := newFleet(program, 3, false)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.end()
	if err := f.start(); err != nil {
		fmt.Println(err)
		return 2
	}
	if err := f.configure("0", configuration(1), 20*time.Second); err != nil {
		fmt.Println(err)
		return 2
	}
	b := &book{runs: map[string][]*run{}}
	mode := os.Getenv("MODE")
	trouble := func(request *http.Request) string {
		if mode == "calm" || mode == "term" || rand.IntN(100) >= 12 {
			return ""
		}
		return []string{"full", "broken", "mute", "extra", "dribble", "fails"}[rand.IntN(6)]
	}
	var workers []*worker
	var mu sync.Mutex
	add := func(i int, phase string) {
		service := "model"
		if phase == "" {
			service = "calendar"
		}
		w := &worker{fleet: f, book: b, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, phase: phase, zone: zones[i%3],
			address: fmt.Sprintf("%s:8000", f.workerIP(i)), trouble: trouble}
		if err := w.start(); err != nil {
			fmt.Println(err)
			return
		}
		mu.Lock()
		workers = append(workers, w)
		mu.Unlock()
	}
	phases := []string{"reading", "reading", "reading", "writing", "writing", "writing", "", "", ""}
	for i, phase := range phases {
		add(i, phase)
	}
	for i := range f.proxies {
		if err := f.ready(i, 10*time.Second); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	time.Sleep(2500 * time.Millisecond)
	end := time.Now().Add(time.Duration(length) * time.Second)
	done := make(chan []*sent, 1)
	go func() { done <- load(f, 60, end, map[bool]float64{false: 0.05}[mode == "term"], 30*time.Millisecond) }()
	restart := func() {
		mu.Lock()
		i := rand.IntN(len(phases))
		address := fmt.Sprintf("%s:8000", f.workerIP(i))
		var old *worker
		for _, w := range workers {
			if w.address == address && !w.ended() {
				old = w
			}
		}
		mu.Unlock()
		if old != nil {
			if mode == "leave" {
				old.leave()
				time.Sleep(time.Duration(2100+rand.IntN(1500)) * time.Millisecond)
				_, _, _ = post(f.control(rand.IntN(3)), "/v1/Servers.Leave/"+old.id, "", []byte("{}"))
			}
			old.stop()
			time.Sleep(300 * time.Millisecond)
			add(i, phases[i])
		}
	}
	disturb(f, mode, end, restart)
	all := <-done
	time.Sleep(3 * time.Second)
	counts := map[string]int{}
	for _, s := range all {
		counts[fmt.Sprintf("%s %d %v", s.kind.name, s.status, s.whole)]++
		if s.took > s.kind.deadline+600*time.Millisecond {
			counts["late "+s.kind.name]++
		}
	}
	fmt.Println(len(all), "requests", counts)
	broken := judge(b, all)
	for _, w := range workers {
		for _, text := range w.late {
			broken = append(broken, "DRAIN: "+text)
		}
	}
	for _, s := range all {
		for _, t := range terms {
			if s.edge == t.edge && s.at.After(t.at) && s.at.Before(t.at.Add(9*time.Second)) && !s.left && !s.whole && len(b.runs[s.id]) > 0 {
				fmt.Println("LOST?", s.kind.name, s.id, "sent", s.at.Sub(t.at), "after SIGTERM, took", s.took, s.status, s.failed)
			}
		}
	}
	for i, text := range broken {
		if i < 25 {
			fmt.Println(text)
		}
	}
	fmt.Println(len(broken), "broken")
	for _, p := range f.all() {
		if !p.alive() {
			fmt.Println(p.name, "has ended")
		}
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}

// span is a SIGTERM of an edge machine.
type span struct {
	edge int
	at   time.Time
}

var terms []span

// disturb makes trouble until the end.
func disturb(f *fleet, mode string, end time.Time, restartWorker func()) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+rand.IntN(900)) * time.Millisecond)
		if mode == "calm" || mode == "answers" {
			continue
		}
		i := rand.IntN(len(f.agents))
		if mode == "leave" {
			go restartWorker()
			time.Sleep(time.Second)
			if rand.IntN(3) == 0 {
				c := f.controls[rand.IntN(3)]
				c.kill()
				time.Sleep(300 * time.Millisecond)
				_ = c.start()
			}
			continue
		}
		if mode == "term" {
			f.proxies[i].signal(syscall.SIGTERM)
			f.agents[i].signal(syscall.SIGTERM)
			began := time.Now()
			for time.Since(began) < 8*time.Second && (f.proxies[i].alive() || f.agents[i].alive()) {
				time.Sleep(10 * time.Millisecond)
			}
			fmt.Println("edge", i, "ended after", time.Since(began), f.proxies[i].alive(), f.agents[i].alive())
			terms = append(terms, span{i, began})
			f.agents[i].kill()
			f.proxies[i].kill()
			_ = f.agents[i].start()
			_ = f.proxies[i].start()
			time.Sleep(3500 * time.Millisecond)
			continue
		}
		switch rand.IntN(6) {
		case 0:
			f.agents[i].kill()
			time.Sleep(200 * time.Millisecond)
			_ = f.agents[i].start()
		case 1:
			f.proxies[i].kill()
			time.Sleep(200 * time.Millisecond)
			_ = f.proxies[i].start()
		case 2:
			p := []*process{f.agents[i], f.proxies[i], f.controls[i%3]}[rand.IntN(3)]
			p.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rand.IntN(3000)) * time.Millisecond)
			p.signal(syscall.SIGCONT)
		case 3:
			c := f.controls[rand.IntN(3)]
			c.kill()
			time.Sleep(300 * time.Millisecond)
			_ = c.start()
		case 4, 5:
			restartWorker()
		}
	}
}
