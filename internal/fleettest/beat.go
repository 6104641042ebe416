package fleettest

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"sumacloft/internal/workerwire"
)

const (
	// beatLimit is how long an acknowledgement may take.
	beatLimit = time.Second
	// beatAnswer bounds the acknowledgement, in bytes.
	beatAnswer = 4 << 10
)

// beat sends heartbeats until the context ends.
func (w *Worker) beat(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		w.beatOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.nudge:
		}
	}
}

// beatOnce sends one heartbeat, to one control member after the other until it is acknowledged.
func (w *Worker) beatOnce(ctx context.Context) {
	w.mu.Lock()
	preferred := w.beatTo
	w.mu.Unlock()
	targets := []string{preferred}
	for _, i := range rand.Perm(len(w.fleet.Controls)) {
		targets = append(targets, w.fleet.Controls[i].Steering())
	}
	for _, target := range targets {
		if target == "" || ctx.Err() != nil {
			continue
		}
		leaving, acknowledged := w.sendBeat(ctx, target)
		if acknowledged {
			w.note(leaving)
			return
		}
		w.mu.Lock()
		w.beatTo = ""
		w.mu.Unlock()
	}
}

func (w *Worker) sendBeat(ctx context.Context, target string) (leaving, acknowledged bool) {
	w.mu.Lock()
	w.beats++
	body := workerwire.Heartbeat{Service: w.Service, Address: w.Address(), Zone: w.Zone, Version: "v1", Capacity: w.Capacity,
		State: "up", Phase: w.phase, CallCount: w.beats}
	leaving = w.leaving
	if leaving {
		body.State = "leaving"
	}
	w.mu.Unlock()
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // plain fields can always be encoded
	}
	answer, ok := w.post(ctx, target, "/v1/Servers.Beat/"+w.ID, string(text))
	if !ok {
		return leaving, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if to := gjson.Get(answer, "beat_to").String(); to != "" {
		w.beatTo = to
	}
	return leaving, true
}

// note notes the acknowledgement of the word that the worker leaves.
func (w *Worker) note(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if leaving && w.acknowledged == 0 {
		w.acknowledged = w.fleet.Now()
		close(w.left)
	}
}

// post makes one call to a control member.
func (w *Worker) post(ctx context.Context, target, path, body string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, beatLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+path, strings.NewReader(body))
	if err != nil {
		return "", false
	}
	answer, err := w.client.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = answer.Body.Close() }() // it was read
	text, err := io.ReadAll(io.LimitReader(answer.Body, beatAnswer+1))
	return string(text), err == nil && len(text) <= beatAnswer && answer.StatusCode/100 == 2
}

// End sends the worker's last word and ends it.
func (w *Worker) End() {
	for _, control := range w.fleet.Controls {
		if _, ok := w.post(context.Background(), control.Steering(), "/v1/Servers.Leave/"+w.ID, "{}"); ok {
			break
		}
	}
	w.Crash()
}

// Prefer has the worker send its heartbeats to one control member, until one fails there.
func (w *Worker) Prefer(control *Control) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beatTo = control.Steering()
}
