package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// at returns the time since the start.
func (r *record) at() time.Duration { return time.Since(r.start) }

// say writes a line and prints it.
func (r *record) say(format string, arguments ...any) {
	line := fmt.Sprintf("%9.3f  %s\n", r.at().Seconds(), fmt.Sprintf(format, arguments...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// note writes a line without printing it.
func (r *record) note(format string, arguments ...any) {
	line := fmt.Sprintf("%9.3f  %s\n", r.at().Seconds(), fmt.Sprintf(format, arguments...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
}

func (r *record) close() { _ = r.file.Close() }
