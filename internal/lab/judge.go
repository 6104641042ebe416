package lab

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sumacloft/internal/decide/rollout"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/policy"
)

// settle mends all that is broken and waits until every daemon serves under the current version.
func (r *run) settle() error {
	r.f.Heal()
	for _, d := range r.f.Daemons {
		d.Continue()
		if !until(r.ctx, 10*time.Second, func() bool { return !d.Running() || d.Healthy(r.ctx) }) {
			d.Kill() // it was ending, and is started again
		}
		if err := r.f.Start(d); err != nil {
			return err
		}
	}
	r.proposals.Wait()
	if r.f.o.OnLapse == rollout.Keep {
		if err := r.declare(); err != nil {
			return err
		}
	}
	if err := r.f.Ready(r.ctx, settles); err != nil {
		r.fault("%v", err)
	}
	return nil
}

// declare does what the operators' page says of a router that serves on and came back without its directory: its old
// self is declared gone.
func (r *run) declare() error {
	client, err := etcd.NewClient([]string{r.f.Daemons[0].Client, r.f.Daemons[1].Client})
	if err != nil {
		return err
	}
	defer client.Close()
	for _, name := range r.fresh {
		d := r.f.Daemon(name)
		until(r.ctx, settles, func() bool {
			return d.Healthy(r.ctx) || policy.Store{Client: client}.Remove(r.ctx, name) == nil
		})
	}
	return nil
}

// judge compares what operators were told with what the store says became of each change, and has the checker judge
// the history.
func (r *run) judge() {
	client, err := etcd.NewClient([]string{r.f.Daemons[0].Client, r.f.Daemons[1].Client})
	if err != nil {
		r.fault("%v", err)
		return
	}
	defer client.Close()
	store := policy.Store{Client: client}
	var ended []rollout.Change
	var v rollout.View
	ok := until(r.ctx, settles, func() bool {
		if ended, err = store.History(r.ctx); err == nil {
			v, err = store.View(r.ctx)
		}
		return err == nil && v.Running() == nil
	})
	if !ok {
		r.fault("a change has no outcome, or the store does not answer: %v", err)
		return
	}
	// Requests after the end: each daemon must serve under the version that stands.
	asking := &http.Client{Timeout: asks, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, d := range r.f.Daemons {
		said := ""
		if !until(r.ctx, settles, func() bool { said = r.serves(asking, d, v.Current.Version); return said == "" }) {
			r.fault("%s does not serve under version %d after all is mended: %s", d.Name, v.Current.Version, said)
		}
	}
	r.rep.Version = v.Current.Version
	r.mu.Lock()
	defer r.mu.Unlock()
	made := map[int64]string{}
	seen := map[string]rollout.Phase{}
	for _, c := range ended {
		seen[c.Note] = c.Phase
		if c.Phase == rollout.Aborted {
			r.rep.Aborted++
			continue
		}
		r.rep.Committed++
		made[c.Base+1] = c.Note
		// A change takes hold at some moment from its proposal on; its operator may not have heard of it.
		op := Op{Client: clients + 1 + len(made), Call: r.exits[c.Note].call, Return: r.since(), Version: c.Base + 1, Change: true}
		if t := r.exits[c.Note]; t.code == 0 {
			op.Return = t.ret
		}
		r.history = append(r.history, op)
	}
	bad := func(format string, args ...any) {
		r.rep.Violations = append(r.rep.Violations, fmt.Sprintf(format, args...))
	}
	for note, t := range r.exits {
		phase, there := seen[note]
		switch {
		case t.code == 0 && phase != rollout.Committed:
			bad("%s was answered committed and is %q", note, phase)
		case t.code == 1 && there && phase != rollout.Aborted:
			bad("%s was answered aborted and is %q", note, phase)
		}
	}
	for _, w := range r.wrong {
		var version int64
		var model string
		if _, err := fmt.Sscan(w, &version, &model); err == nil && made[version] != model {
			bad("a request for the model of %s was served under version %d, which is that of %q", model, version, made[version])
		}
	}
	r.rep.Requests, r.rep.Refused, r.rep.Lost = len(r.history), int(r.refused.Load()), int(r.lost.Load())
	if ok, why := Check(r.history); !ok {
		bad("%s", why)
	}
}

// serves asks a daemon, and gives what was wrong with its answer, or nothing.
func (r *run) serves(client *http.Client, d *Daemon, version int64) string {
	resp, err := client.Post("http://"+d.Listen+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"query","messages":[{"role":"user","content":"x"}]}`))
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if at := resp.Header.Get("X-Sumacloft-Policy"); resp.StatusCode != http.StatusOK || at != strconv.FormatInt(version, 10) {
		return fmt.Sprintf("%d under %q: %s %v", resp.StatusCode, at, text, err)
	}
	return ""
}
