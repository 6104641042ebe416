package main

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/boot"
)

func TestSignalsWriteTheLogOut(t *testing.T) {
	c := qt.New(t)
	// Given a quiet log with a line in it
	log := newLines(&bytes.Buffer{}, false)
	log.log.Info().Msg("one")
	read, write := io.Pipe()
	c.Cleanup(func() { _ = read.Close() })
	log.watchSignal(write)
	// when the process gets SIGUSR1, then the line is written;
	c.Assert(syscall.Kill(os.Getpid(), syscall.SIGUSR1), qt.IsNil)
	written := bufio.NewReader(read)
	line, err := written.ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Assert(line, qt.Contains, "one")
	// when it gets another, then it is written again: it is still held.
	c.Assert(syscall.Kill(os.Getpid(), syscall.SIGUSR1), qt.IsNil)
	again, err := written.ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.Equals, line)
}

func TestAVerboseLogIsWrittenAtOnceAndHeld(t *testing.T) {
	c := qt.New(t)
	// Given a verbose log, when lines are logged, an error among them, then each is written once;
	var out bytes.Buffer
	log := newLines(&out, true)
	log.log.Info().Msg("one")
	log.log.Error().Msg("two")
	log.log.Info().Msg("three")
	_, err := io.WriteString(log.out, "four\n")
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(out.String(), "\n"), qt.Equals, 4)
	// and what came after the error can still be asked for.
	var held bytes.Buffer
	c.Assert(log.ring.Copy(&held), qt.IsNil)
	c.Assert(held.String(), qt.Equals, `{"level":"info","message":"three"}`+"\nfour\n")
}

func TestAProxyShowsItsLogOnItsMachine(t *testing.T) {
	c := qt.New(t)
	// Given a proxy whose machine is an address of the loopback network
	settings := &boot.Settings{IP: "127.0.0.77", InsidePorts: boot.PortRange{First: 17700, Last: 17709}}
	log := newLines(io.Discard, false)
	log.log.Info().Msg("one")
	server := serveProxyStatus(&process{settings: settings, lines: log}, func(*http.ServeMux) {}, nil)
	c.Cleanup(func() { _ = server.Close() })
	// when it is asked at the fifth inside port there, then it gives its lines.
	got := runLine(c, "log", "127.0.0.77:17704")
	c.Assert(got.err, qt.IsNil)
	c.Assert(got.out, qt.Contains, "one")
	// Given a second one at the same port, then it goes on without, and says so in its log.
	second := serveProxyStatus(&process{settings: settings, lines: log}, func(*http.ServeMux) {}, nil)
	c.Cleanup(func() { _ = second.Close() })
	var held bytes.Buffer
	c.Assert(log.ring.Copy(&held), qt.IsNil)
	c.Assert(held.String(), qt.Contains, "SIGUSR1 writes it out")
}
