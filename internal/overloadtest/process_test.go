package overloadtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/boot"
)

// programs is the folder of the programs under test.
var programs string

// TestMain builds the programs under test, as they run in service: without the race detector, whose memory is not theirs.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "overloadtest")
	if err != nil {
		panic(err)
	}
	programs = folder
	build := exec.Command("go", "build", "-o", folder+"/", "sumacloft/cmd/fleetd", "sumacloft/cmd/sumacloft")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n%s", build, err, output)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

const (
	// endTimeout is how long a process may take to end after SIGTERM; it is above the grace of the boot files.
	endTimeout = 12 * time.Second
	// watchInterval is how often a process's descriptors are counted.
	watchInterval = 20 * time.Millisecond
)

// process is a process under test.
type process struct {
	name        string
	run         *exec.Cmd
	log         string
	ended       chan struct{}
	descriptors atomic.Int64 // the most that were seen
}

// start begins a subcommand of fleetd with a boot file.
func (f *fleet) start(name, command, bootFile string) *process {
	return startProcess(f.c, f.folder, name, boot.PathVariable+"="+bootFile, "fleetd", command)
}

func startProcess(c *qt.C, folder, name, environment, program string, arguments ...string) *process {
	c.Helper()
	p := &process{name: name, log: filepath.Join(folder, name+".log"), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	c.Assert(err, qt.IsNil)
	p.run = exec.Command(filepath.Join(programs, program), arguments...)
	p.run.Env = append(os.Environ(), environment)
	p.run.Stdout, p.run.Stderr = log, log
	c.Assert(p.run.Start(), qt.IsNil)
	_ = log.Close() // the process has its own
	go func() {
		_ = p.run.Wait() // a process that should live is found by alive
		close(p.ended)
	}()
	go p.watch()
	return p
}

// watch counts the process's descriptors until it ends.
func (p *process) watch() {
	for p.alive() {
		entries, err := os.ReadDir(p.path("fd"))
		if err == nil {
			p.descriptors.Store(max(p.descriptors.Load(), int64(len(entries))))
		}
		time.Sleep(watchInterval)
	}
}

func (p *process) path(file string) string {
	return fmt.Sprintf("/proc/%d/%s", p.run.Process.Pid, file)
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) peakDescriptors() int { return int(p.descriptors.Load()) }

// peakMB is the most resident memory that the process has had.
func (p *process) peakMB(c *qt.C) int {
	c.Helper()
	status, err := os.ReadFile(p.path("status"))
	c.Assert(err, qt.IsNil, qt.Commentf("%s has ended", p.name))
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	c.Assert(found, qt.IsTrue)
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	c.Assert(err, qt.IsNil)
	return kilobytes >> 10
}

// end ends the process, and shows its log if the test has failed.
func (p *process) end(c *qt.C) {
	_ = p.run.Process.Signal(syscall.SIGKILL) // it may have ended; clients of a crowd are not waited for
	select {
	case <-p.ended:
	case <-time.After(endTimeout):
		c.Errorf("%s did not end", p.name)
	}
	if text, err := os.ReadFile(p.log); err == nil && c.Failed() {
		c.Logf("log of %s:\n%.4000s", p.name, text)
	}
}
