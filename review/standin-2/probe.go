package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

func probe(program string) int {
	f, err := newFleet(program, 1, false)
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
	b := &book{runs: map[string][]*run{}}
	for i, phase := range []string{"", "", "reading", "writing"} {
		service := "calendar"
		if phase != "" {
			service = "model"
		}
		w := &worker{fleet: f, book: b, id: fmt.Sprintf("i-%d", i), service: service, phase: phase, zone: zones[0], address: fmt.Sprintf("%s:8000", f.workerIP(i))}
		if err := w.start(); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	_ = f.ready(0, 10*time.Second)
	time.Sleep(2 * time.Second)
	text, _ := os.ReadFile(os.Getenv("REQUEST"))
	for _, one := range strings.Split(string(text), "=====\n") {
		method, _, _ := strings.Cut(one, " ")
		conn, err := net.Dial("tcp", f.front(0))
		if err != nil {
			return 2
		}
		at := time.Now()
		_, _ = conn.Write([]byte(strings.ReplaceAll(one, "\n", "\r\n")))
		_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
		if err != nil {
			fmt.Println(method, err, time.Since(at))
		} else {
			fmt.Println(method, response.Status, response.Header, time.Since(at))
		}
		_ = conn.Close()
	}
	for id, runs := range b.runs {
		for _, r := range runs {
			fmt.Println("ran", id, r.worker, r.method, r.uri)
		}
	}
	return 0
}
