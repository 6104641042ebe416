package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/boot"
)

// brokenPipeChild is set in the environment of the child process of TestProcessOutlivesTheReaderOfItsLog.
const brokenPipeChild = "FLEETD_TEST_BROKEN_PIPE"

// TestBrokenPipeChild is the child process: it writes its log where nobody reads any more.
func TestBrokenPipeChild(t *testing.T) {
	if os.Getenv(brokenPipeChild) == "" {
		return
	}
	c := qt.New(t)
	p, err := start(&command{})
	c.Assert(err, qt.IsNil)
	defer p.stop()
	p.log.Info().Msg("a line")
	for range 5 {
		c.Assert(syscall.Kill(os.Getpid(), syscall.SIGUSR1), qt.IsNil)
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a process that ends by SIGPIPE when it writes its log and nobody reads its standard error any more.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	c := qt.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	child := exec.Command(os.Args[0], "-test.run", "^TestBrokenPipeChild$")
	child.Env = append(os.Environ(), brokenPipeChild+"=1", boot.PathVariable+"="+file(c, "boot", goodBoot))
	child.Stderr = writer
	c.Assert(child.Start(), qt.IsNil)
	c.Assert(writer.Close(), qt.IsNil)
	c.Assert(reader.Close(), qt.IsNil)
	c.Assert(child.Wait(), qt.IsNil)
}
