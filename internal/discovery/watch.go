package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// silenceTimeout is how long a watch may say nothing before it is opened anew. An empty line comes every 2 s, and
	// what is not heard counts as told after 6 s: the rest of that is for opening the next one.
	silenceTimeout = 3 * time.Second
	// localFetchTimeout is how long the whole list may take. It is asked for at a start, after a move, when what the new place
	// has to tell counts as told 4 s later, and after a silence; the agent answers at once or not at all. What it gets
	// at the end of an outage counts at once, and then drains have 1 s of grace: this and a pause must fit into it.
	localFetchTimeout = 600 * time.Millisecond
	// maxListBytes bounds one list, with the empty lines before it: at one each 2 s they take years to add up to that.
	maxListBytes = 8 << 20
)

// Watcher follows the list at an address. Use New.
type Watcher struct {
	url     string
	client  *http.Client
	log     logrus.FieldLogger
	silence time.Duration
	pace    *Pace
}

// New makes a Watcher of the agent at host:port, which is asked at that pace.
func New(addr string, pace *Pace, log logrus.FieldLogger) *Watcher {
	return &Watcher{url: "http://" + addr + "/catalog/members", client: &http.Client{Transport: &http.Transport{}},
		log: log, silence: silenceTimeout, pace: pace}
}

// From is where a watch begins.
type From struct {
	Revision int64
	Known    bool // the list of that revision is known: the whole list need not be asked for, where that has a price
	Moved    bool // another place was followed before
}

// Run hands every list and change after the given one to deliver, in order, until ctx ends. Each round asks for
// the whole list first if none is known yet, then watches from the revision it has. An agent of this router's own is
// also asked for the whole list after a silence: a new watch may be silent in turn, and to wait for that as long as a
// watch may say nothing would bring the news later than they count as told.
func (w *Watcher) Run(ctx context.Context, from From, deliver func(List)) {
	defer w.client.CloseIdleConnections()
	revision, fetched := from.Revision, from.Known && w.pace.interval > 0
	for wait := w.pace.firstDelay(from.Moved); ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		var err error
		began, watched := time.Now(), fetched
		if !fetched {
			err = w.follow(ctx, w.url, w.pace.fetchTimeout(), func(l List) error {
				if !l.Complete {
					return errPartial
				}
				revision, fetched = l.Revision, true
				deliver(l)
				return nil
			})
		} else {
			err = w.follow(ctx, fmt.Sprintf("%s?stream=1&index=%d", w.url, revision), w.silence, func(l List) error {
				revision = l.Revision
				deliver(l)
				return nil
			})
		}
		if wait = 0; (err != nil || watched || !fetched) && ctx.Err() == nil { // also an answer that ends at once may do so for ever
			silent := (*silentError)(nil)
			errors.As(err, &silent)
			fetched = fetched && (!watched || silent == nil || w.pace.interval > 0)
			wait = w.pace.retryDelay(time.Since(began), silent != nil && silent.heard)
			w.log.WithError(err).WithField("pause", wait).Warn("discovery: the watch ended")
		}
	}
}

// follow reads one answer to its end, object after object; silence ends it. The lines that come while nothing
// changes are white space to the decoder, but they are heard.
func (w *Watcher) follow(ctx context.Context, url string, silence time.Duration, deliver func(List) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var received atomic.Bool
	quiet := time.AfterFunc(silence, func() { cancel(&silentError{silence, received.Load()}) })
	defer quiet.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := w.client.Do(req)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if err != nil {
		if resp != nil {
			_ = resp.Body.Close()
		}
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	body := &monitoredReader{Reader: resp.Body, onRead: func() { received.Store(true); quiet.Reset(silence) }}
	for lists := json.NewDecoder(body); ; {
		var l List
		body.remaining = maxListBytes
		err := lists.Decode(&l)
		switch cause := context.Cause(ctx); {
		case cause != nil: // also of a list that has just come: another source may be followed by now
			return cause
		case err == nil && l.Complete && l.Members == nil:
			return errMissingMembers
		case err == nil:
			if err := deliver(l); err != nil {
				return err
			}
		case errors.Is(err, io.EOF):
			return nil
		default:
			return fmt.Errorf("a list that can't be read: %w", err)
		}
	}
}

// silentError ends an answer that says nothing more.
type silentError struct {
	length time.Duration
	heard  bool // something had been said before
}

func (e *silentError) Error() string { return fmt.Sprintf("silent for %v", e.length) }

// monitoredReader calls onRead for every piece that is read, and bounds what one list may take.
type monitoredReader struct {
	io.Reader
	onRead    func()
	remaining int
}

// What can't be the whole list must not be taken for one: all workers that it does not name would count as gone.
var (
	errMissingMembers = errors.New("an answer without members, as from another server")
	errPartial        = errors.New("a part of a list where the whole was asked for")
)

var errListTooLong = errors.New("longer than a list may be")

// Read serves io.Reader.
func (r *monitoredReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errListTooLong
	}
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.onRead()
	}
	r.remaining -= n
	return n, err
}
