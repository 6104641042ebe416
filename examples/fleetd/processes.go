package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// endLimit is how long a process may take to end in good order; it is above the grace of the boot files.
const endLimit = 12 * time.Second

// child is a process that the demo began.
type child struct {
	name  string
	run   *exec.Cmd
	ended chan struct{} // closed once it has ended
	err   error         // why, once it has
}

// start begins a process; its output goes to a file named after it.
func start(folder, name string, environment []string, program string, arguments ...string) (*child, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, demoError.Wrap(err)
	}
	defer func() { _ = log.Close() }() // the process has its own
	run := exec.Command(program, arguments...)
	run.Env = append(os.Environ(), environment...)
	run.Stdout, run.Stderr = log, log
	run.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt is for the demo, which ends the others in order
	if err := run.Start(); err != nil {
		return nil, demoError.New("%s: build the programs first (make build): %w", name, err)
	}
	c := &child{name: name, run: run, ended: make(chan struct{})}
	go func() {
		c.err = run.Wait()
		close(c.ended)
	}()
	return c, nil
}

// pid is the process's id.
func (c *child) pid() int { return c.run.Process.Pid }

// end asks the process to end and makes it if it does not; it tells what became of it.
func (c *child) end() string {
	_ = c.run.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-c.ended:
	case <-time.After(endLimit):
		_ = c.run.Process.Kill() // likewise
		<-c.ended
		return "was killed: it did not end in time"
	}
	var exit *exec.ExitError
	if errors.As(c.err, &exit) {
		return "ended with " + exit.String()
	}
	return "ended in good order"
}

// endAll ends processes together and lists what became of them.
func endAll(children []*child) []string {
	told := make([]string, len(children))
	var waiting sync.WaitGroup
	for i, c := range children {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			told[i] = fmt.Sprintf("%s (process %d) %s", c.name, c.pid(), c.end())
		}()
	}
	waiting.Wait()
	return told
}
