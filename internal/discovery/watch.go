package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// silence is how long a watch may say nothing before it is opened anew. An empty line comes every 2 s, and
	// what is not heard counts as told after 6 s: the rest of that is for opening the next one.
	silence = 3 * time.Second
	// pause lies between two tries.
	pause = 200 * time.Millisecond
	// maxLine bounds one change.
	maxLine = 8 << 20
)

// Watcher follows the list at an address. Use New.
type Watcher struct {
	url     string
	client  *http.Client
	log     logrus.FieldLogger
	silence time.Duration
	pause   time.Duration
}

// New makes a Watcher of the agent at host:port.
func New(addr string, log logrus.FieldLogger) *Watcher {
	return &Watcher{url: "http://" + addr + "/catalog/members", client: &http.Client{Transport: &http.Transport{}},
		log: log, silence: silence, pause: pause}
}

// Run hands every list and change after the revision to tell, in order, until ctx ends. Each round asks for
// the whole list first if the last one gave no revision, then watches from the revision it has.
func (w *Watcher) Run(ctx context.Context, revision int64, tell func(List)) {
	fetched := false
	for ctx.Err() == nil {
		var err error
		if !fetched {
			err = w.follow(ctx, w.url, func(l List) { revision, fetched = l.Revision, true; tell(l) })
		} else {
			err = w.follow(ctx, fmt.Sprintf("%s?stream=1&index=%d", w.url, revision), func(l List) {
				revision = l.Revision
				tell(l)
			})
		}
		if err != nil && ctx.Err() == nil {
			w.log.WithError(err).Warn("discovery: the watch ended")
			select {
			case <-ctx.Done():
			case <-time.After(w.pause):
			}
		}
	}
}

// follow reads one answer to its end, one object a line; silence ends it.
func (w *Watcher) follow(ctx context.Context, url string, tell func(List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(w.silence, func() { cancel(fmt.Errorf("silent for %v", w.silence)) })
	defer quiet.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 64<<10), maxLine)
	for lines.Scan() {
		quiet.Reset(w.silence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		var l List
		if err := json.Unmarshal(line, &l); err != nil {
			return fmt.Errorf("a list that can't be read: %w", err)
		}
		tell(l)
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return lines.Err()
}
