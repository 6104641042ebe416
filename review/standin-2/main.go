// Command standin-2 plays a case of the second review: it starts a fleet of the project's own processes on loopback
// addresses, with stand-ins of workers, clients and the operator, and writes what was sent, answered and run.
//
// Usage: standin-2 overload|later FLEETD FOLDER
//
// FLEETD is the program of the deploy file, FOLDER where record.txt is written. TROUBLE=0 in the environment leaves the
// disruption out. Exit status: 0, the rule held; 1, it was broken; 2, the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	held = iota
	broken
	couldNotRun
)

// record is the file record.txt. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// line writes one line with the time in seconds since the start of the case.
func (r *record) line(what, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %-8s %s\n", time.Since(r.began).Seconds(), what, fmt.Sprintf(format, arguments...))
}

// result writes the last line, to the terminal too.
func (r *record) result(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.line("RESULT", "%s", text)
	fmt.Println(text)
}

func main() {
	cases := map[string]func(*fleet, *record, bool) (int, error){"later": later, "overload": overload}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 overload|later FLEETD FOLDER")
		os.Exit(couldNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play runs the case and ends all processes that it has started.
func play(run func(*fleet, *record, bool) (int, error), program, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, began: time.Now()}
	f, err := newFleet(program, 6)
	if err != nil {
		r.result("could not run: %v", err)
		return couldNotRun
	}
	defer f.end()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-ended
		f.end()
		os.Exit(couldNotRun)
	}()
	status, err := run(f, r, os.Getenv("TROUBLE") != "0")
	f.decisions(r)
	if err != nil {
		r.result("could not run: %v", err)
		return couldNotRun
	}
	return status
}
