// Package logring keeps the newest log lines in memory and writes them out when something goes wrong: a line of the
// level error has all that led to it written to the output, once.
package logring

import (
	"io"
	"sync"

	"github.com/rs/zerolog"
)

// Ring holds the newest lines, up to a number of bytes. It serves zerolog.LevelWriter and is safe for concurrent use.
type Ring struct {
	mu    sync.Mutex
	out   io.Writer
	limit int // bytes
	size  int
	lines [][]byte
}

// New makes a ring of at most so many bytes that is written out to the output.
func New(out io.Writer, limit int) *Ring { return &Ring{out: out, limit: limit} }

// Logger logs to the ring, with the time since start left to the caller's fields.
func (r *Ring) Logger() zerolog.Logger { return zerolog.New(r).Level(zerolog.InfoLevel) }

// Write serves io.Writer: it keeps the line.
func (r *Ring) Write(line []byte) (int, error) { return r.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel serves zerolog.LevelWriter: it keeps the line, and writes out the ring if its level is error or above.
func (r *Ring) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keep(line)
	if level >= zerolog.ErrorLevel && level < zerolog.NoLevel {
		r.dump(r.out)
	}
	return len(line), nil
}

// keep adds a line and lets go of the oldest ones over the limit.
func (r *Ring) keep(line []byte) {
	r.lines = append(r.lines, append([]byte(nil), line...))
	r.size += len(line)
	for r.size > r.limit && len(r.lines) > 1 {
		r.size -= len(r.lines[0])
		r.lines[0] = nil
		r.lines = r.lines[1:]
	}
}

// dump writes out what is held and lets go of it.
func (r *Ring) dump(to io.Writer) {
	for _, line := range r.lines {
		if _, err := to.Write(line); err != nil {
			break // nobody reads the log: it must not hold up the program
		}
	}
	r.lines, r.size = nil, 0
}

// Dump writes out what is held.
func (r *Ring) Dump() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dump(r.out)
}

// Copy writes what is held to another output and keeps it.
func (r *Ring) Copy(to io.Writer) error {
	r.mu.Lock()
	held := append([][]byte(nil), r.lines...)
	r.mu.Unlock()
	for _, line := range held {
		if _, err := to.Write(line); err != nil {
			return err
		}
	}
	return nil
}
