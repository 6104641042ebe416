package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tidwall/gjson"
)

const (
	longHold  = 5000 * time.Millisecond // of the first call
	shortHold = 500 * time.Millisecond  // of the renewal, and of the other caller
	// answerLimit is how long a caller waits for an answer before it turns to another control member.
	answerLimit = time.Second
	// askInterval is the time between two calls of the caller that asks for a lock that another has.
	askInterval = 40 * time.Millisecond
)

// span is a time in which a caller counts itself the holder of the lock, in the record's time.
type span struct {
	fence       uint64
	begin, end  time.Duration
	description string
}

// playLock has one caller hold a lock, and renew it with a shorter hold_ms by a call whose answer is lost, while another
// caller goes on asking for it. It looks whether both count themselves the holder at the same moment.
func playLock(ctx context.Context, s *stage) error {
	f, err := newFleet(s, "base,drain,config,cost,retry,recover,split,stream,engine,coord")
	if err != nil {
		return err
	}
	defer func() { f.kill(f.machines) }()
	if err := f.start(f.machines, true); err != nil {
		return err
	}
	if err := f.configure(ctx, calendarDocument); err != nil {
		return err
	}
	lossy, err := newRelay(f.steering[0], f.ip(34))
	if err != nil {
		return err
	}
	defer lossy.close()
	if !pause(ctx, calm) {
		return ctx.Err()
	}
	first, err := startLock(ctx, f, f.steering[0], "a1.1", longHold)
	if err != nil || first == nil {
		return fmt.Errorf("the first caller did not get the lock: %v", err)
	}
	others := make(chan []span, 1)
	asking, stop := context.WithCancel(ctx)
	defer stop()
	go func() { others <- goOnAsking(asking, f) }()
	if !pause(ctx, time.Second) {
		return ctx.Err()
	}
	renew(ctx, s, f, first, lossy)
	if !pause(ctx, 2*time.Second) {
		return ctx.Err()
	}
	stop()
	return judgeLock(s, *first, <-others)
}

// renew renews the first caller's lock: by way of the relay, and where no answer comes within a second, at another member.
func renew(ctx context.Context, s *stage, f *fleet, held *span, lossy *relay) {
	lossy.drop(s.trouble)
	for _, address := range []string{lossy.address, f.steering[1], f.steering[2]} {
		sent := s.record.at()
		s.record.say("a1.1 sends Locks.Beat, fence_number %d, hold_ms %d, to %s", held.fence, shortHold.Milliseconds(), address)
		status, _, err := f.call(ctx, address, http.MethodPost, "/v1/Locks.Beat/l1",
			fmt.Sprintf(`{"owner":"a1.1","fence_number":%d,"hold_ms":%d}`, held.fence, shortHold.Milliseconds()))
		got := s.record.at()
		switch {
		case err != nil || status >= 500 || status == http.StatusTooManyRequests:
			s.record.say("a1.1 gets no clear answer (status %d, %v) and turns to another member", status, err)
		case status == http.StatusOK && got < held.end:
			held.end = sent + shortHold
			s.record.say("a1.1 gets 200: it counts itself the holder until %.3f", held.end.Seconds())
			return
		default:
			held.end = min(held.end, got)
			s.record.say("a1.1 gets %d: it gives the lock up", status)
			return
		}
	}
}

// startLock asks for the lock once. It returns the span of a caller that got it, nil if another has it.
func startLock(ctx context.Context, f *fleet, address, owner string, hold time.Duration) (*span, error) {
	rec := f.stage.record
	sent := rec.at()
	status, text, err := f.call(ctx, address, http.MethodPost, "/v1/Locks.Start/l1", fmt.Sprintf(`{"owner":%q,"hold_ms":%d}`, owner, hold.Milliseconds()))
	if err != nil {
		return nil, err
	}
	rec.note("%s sends Locks.Start, hold_ms %d, at %.3f: status %d %s", owner, hold.Milliseconds(), sent.Seconds(), status, text)
	if status != http.StatusOK {
		return nil, nil
	}
	held := &span{fence: gjson.Get(text, "fence_number").Uint(), begin: rec.at(), end: sent + hold, description: owner}
	rec.say("%s gets the lock with fence_number %d at %.3f: it counts itself the holder until %.3f", owner, held.fence, held.begin.Seconds(), held.end.Seconds())
	return held, nil
}

// goOnAsking asks for the lock again and again as another caller, until the context ends, and returns when it had it.
func goOnAsking(ctx context.Context, f *fleet) []span {
	var spans []span
	for pause(ctx, askInterval) {
		if held, err := startLock(ctx, f, f.steering[2], "a2.1", shortHold); err == nil && held != nil {
			spans = append(spans, *held)
			pause(ctx, shortHold)
		}
	}
	return spans
}

// judgeLock looks for a moment at which both callers count themselves the holder.
func judgeLock(s *stage, first span, others []span) error {
	s.record.say("a1.1 counted itself the holder from %.3f to %.3f", first.begin.Seconds(), first.end.Seconds())
	if len(others) == 0 {
		return fmt.Errorf("the second caller never got the lock")
	}
	for _, other := range others {
		if other.begin < first.end && first.begin < other.end {
			s.record.say("BROKEN: %s counted itself the holder from %.3f on with fence_number %d, %.3f s before a1.1 ceased to",
				other.description, other.begin.Seconds(), other.fence, (first.end - other.begin).Seconds())
			return errBroken
		}
	}
	return nil
}

// relay passes calls on to a control member. It can lose the answers on their way back.
type relay struct {
	address  string
	target   string
	listener net.Listener
	mu       sync.Mutex
	dropping bool
}

func newRelay(target, ip string) (*relay, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &relay{address: listener.Addr().String(), target: target, listener: listener}
	go r.run()
	return r, nil
}

func (r *relay) drop(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropping = on
}

func (r *relay) drops() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropping
}

func (r *relay) close() { _ = r.listener.Close() }

func (r *relay) run() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve passes on what a caller sends, and what comes back unless answers are lost now: then the caller hears nothing.
func (r *relay) serve(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	member, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = member.Close() }()
	go func() {
		_, _ = io.Copy(member, caller)
		_ = member.Close()
	}()
	reader := bufio.NewReader(member)
	buffer := make([]byte, 4096)
	for {
		n, err := reader.Read(buffer)
		if err != nil {
			return
		}
		if r.drops() {
			continue
		}
		if _, err := caller.Write(buffer[:n]); err != nil {
			return
		}
	}
}
