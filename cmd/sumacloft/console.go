package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sumacloft/brain"
	"sumacloft/internal/discovery"
	"sumacloft/internal/ops"
)

const (
	// callTime is how long a caller of the console may take for its line: an answer is owed within 1 s of the
	// connection, and a silent caller gets its FAILURE before that.
	callTime = 800 * time.Millisecond
	// callers is how many connections the console serves at once; the next is told at once that it is busy.
	callers = 64
	// banLooks is how often the shared file of bans is looked at: the other process of an upgrade may have changed it.
	banLooks = 200 * time.Millisecond
)

// desk is what the console and the list share: the bans, the file that keeps them, and the state of the router.
type desk struct {
	log   logrus.FieldLogger
	tell  func(brain.ListKind, []discovery.Member) // to the core
	file  string                                   // of bans; "": none kept
	ready atomic.Bool                              // the listener serves
	ended atomic.Bool                              // SIGTERM came
	duck  func(bool)                               // LAMEDUCK and REJOIN

	mu     sync.Mutex
	hand   *ops.Hand
	ducked bool
	seen   string // of the file, as this process last read or wrote it
}

// banFile is where a router keeps its bans: in $TMPDIR, which both processes of an upgrade share.
func banFile(name string) string {
	clean := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, name)
	return filepath.Join(os.TempDir(), "sumacloft-"+clean+".bans")
}

func newDesk(file string, log logrus.FieldLogger, tell func(brain.ListKind, []discovery.Member)) *desk {
	d := &desk{log: log, tell: tell, file: file, duck: func(bool) {}}
	banned, text := d.read()
	d.hand, d.seen = ops.NewHand(banned), text
	return d
}

// list passes a list from discovery through the bans to the core. The lock keeps lists and calls in order.
func (d *desk) list(kind brain.ListKind, l discovery.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tell(kind, d.hand.Take(l).Members)
}

// read gives the bans of the file, and its text; a file that is not there or not whole holds none.
func (d *desk) read() ([]string, string) {
	if d.file == "" {
		return nil, ""
	}
	data, err := os.ReadFile(d.file)
	if err != nil {
		return nil, ""
	}
	var banned []string
	if err := json.Unmarshal(data, &banned); err != nil {
		d.log.WithError(err).WithField("file", d.file).Warn("the file of bans is not read")
		return nil, string(data)
	}
	return banned, string(data)
}

// write keeps the bans; the rename leaves the other process a whole file or the old one. The lock is held.
func (d *desk) write() error {
	if d.file == "" {
		return nil
	}
	data, _ := json.Marshal(d.hand.Banned()) // of strings: never fails
	next := d.file + fmt.Sprintf(".%d", os.Getpid())
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return err
	}
	if err := os.Rename(next, d.file); err != nil {
		return err
	}
	d.seen = string(data)
	return nil
}

// follow takes, until ctx ends, the bans that the other process wrote.
func (d *desk) follow(ctx context.Context) { each(ctx, banLooks, d.look) }

// look takes the bans of the file if they changed since this process last read or wrote it.
func (d *desk) look() {
	banned, text := d.read()
	d.mu.Lock()
	defer d.mu.Unlock()
	if text != d.seen && (text != "" || d.seen != "") {
		d.seen = text
		if changed := d.hand.Load(banned); len(changed.Members) > 0 {
			d.tell(brain.ListDelta, changed.Members)
		}
	}
}

// answer carries out one line of the console.
func (d *desk) answer(line string) string {
	call, err := ops.Parse(line)
	if err != nil {
		return "FAILURE " + err.Error()
	}
	switch call.Verb {
	case ops.Ping:
		switch {
		case d.ended.Load():
			return "FAILURE draining"
		case !d.ready.Load():
			return "FAILURE starting"
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.ducked {
			return "FAILURE lame duck"
		}
		return "SUCCESS ready"
	case ops.Detach, ops.Attach:
		d.mu.Lock()
		defer d.mu.Unlock()
		changed, err := d.hand.Set(call.ID, call.Verb == ops.Detach)
		if err != nil {
			return "FAILURE " + err.Error()
		}
		d.tell(brain.ListDelta, changed.Members)
		if err := d.write(); err != nil {
			d.log.WithError(err).WithField("file", d.file).Error("the bans are not kept for the next process")
		}
		if call.Verb == ops.Detach {
			return "SUCCESS detached " + call.ID
		}
		return "SUCCESS attached " + call.ID
	default: // LAMEDUCK, REJOIN
		d.mu.Lock()
		defer d.mu.Unlock()
		d.ducked = call.Verb == ops.Lameduck
		d.duck(d.ducked)
		if d.ducked {
			return "SUCCESS lame duck"
		}
		return "SUCCESS rejoined"
	}
}

// console serves the operators' address until ctx ends.
func (d *desk) console(ctx context.Context, l net.Listener) {
	go func() {
		<-ctx.Done()
		_ = l.Close()
	}()
	places := make(chan struct{}, callers)
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors: others end meanwhile
			continue
		}
		select {
		case places <- struct{}{}:
			go func() {
				defer func() { <-places }()
				d.serveCall(c)
			}()
		default:
			_ = c.SetWriteDeadline(time.Now().Add(callTime))
			_, _ = c.Write([]byte("FAILURE busy\n"))
			_ = c.Close()
		}
	}
}

// serveCall reads one line and answers it. A panic ends at the connection.
func (d *desk) serveCall(c net.Conn) {
	defer c.Close()
	defer func() {
		if p := recover(); p != nil {
			d.log.Errorf("a call of the console panicked: %v", p)
		}
	}()
	_ = c.SetDeadline(time.Now().Add(callTime))
	line, err := bufio.NewReaderSize(c, ops.MaxLine).ReadSlice('\n')
	var answer string
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		answer = fmt.Sprintf("FAILURE line longer than %d bytes", ops.MaxLine)
	case err != nil && !errors.Is(err, io.EOF):
		answer = "FAILURE no whole line came in time"
	default: // a line without its end is taken as it is where the caller closed its side
		answer = d.answer(strings.TrimRight(string(line), "\r\n"))
	}
	d.log.WithField("call", strings.TrimSpace(string(line))).WithField("answer", answer).Info("console")
	_ = c.SetWriteDeadline(time.Now().Add(callTime))
	_, _ = c.Write([]byte(answer + "\n"))
	// What the caller sent past the line is read away, for a while: closed with bytes unread, the connection would
	// be reset, and the answer lost with it.
	if half, ok := c.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(callTime / 4))
		_, _ = io.Copy(io.Discard, io.LimitReader(c, 1<<16))
	}
}
