package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"slices"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"sumacloft/internal/config"
	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/rollout"
	"sumacloft/internal/etcd"
	"sumacloft/internal/fleet/policy"
)

type policyLine struct {
	Apply    applyLine    `cmd:"" help:"Change the policy at every router, or at none. Exit 0: committed, 1: aborted, 3: not known yet."`
	Outcome  outcomeLine  `cmd:"" help:"Tell what became of a change. Exit codes as with apply."`
	Show     showLine     `cmd:"" help:"Print a version as TOML."`
	Status   statusLine   `cmd:"" help:"Show each router: version, step, lease left."`
	History  historyLine  `cmd:"" help:"List the ended changes: who, when, outcome."`
	Rollback rollbackLine `cmd:"" help:"Propose an earlier version again."`
	Check    checkLine    `cmd:"" help:"Check a file without proposing it."`
	Schema   schemaLine   `cmd:"" help:"Print the schema of a policy's structure."`
}

// waiting is how a change is proposed and waited for.
type waiting struct {
	Wait     time.Duration `help:"How long to wait for the outcome." default:"30s"`
	Limit    time.Duration `help:"How long the change itself may take before it is aborted; longer than the routers' leases, so that it can pass one that is gone." default:"15s"`
	StepBack time.Duration `help:"How long routers hold arrivals for one that does not answer before they go on under the old version." default:"300ms"`
	Note     string        `help:"Why, for the history."`
	By       string        `help:"Who; you, if absent."`
}

type applyLine struct {
	File string `arg:"" help:"The policy, as TOML; - is read from standard input."`
	Base int64  `help:"Refuse unless this is the current version."`
	waiting
}

// Run proposes a file.
func (l *applyLine) Run(c *ctl) error {
	text, err := c.read(l.File)
	if err != nil {
		return err
	}
	if _, err := config.ReadPolicy(text); err != nil {
		return fmt.Errorf("%s: %w; nothing was proposed", l.File, err)
	}
	return c.apply(text, l.Base, l.waiting)
}

func (c *ctl) read(file string) (string, error) {
	if file == "-" {
		data, err := io.ReadAll(c.in)
		return string(data), err
	}
	data, err := os.ReadFile(file)
	return string(data), err
}

type checkLine struct {
	File string `arg:"" help:"The policy, as TOML; - is read from standard input."`
}

// Run checks a file.
func (l *checkLine) Run(c *ctl) error {
	text, err := c.read(l.File)
	if err != nil {
		return err
	}
	d, err := config.ReadPolicy(text)
	if err != nil {
		return fmt.Errorf("%s: %w", l.File, err)
	}
	return c.print(d, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s is a policy of %d classes; whether each router can carry it shows when it is applied\n", l.File, len(d.Chat.Classes))
		return err
	})
}

type rollbackLine struct {
	Version int64 `arg:"" help:"The version whose text is proposed again."`
	waiting
}

// Run proposes an earlier version.
func (l *rollbackLine) Run(c *ctl) error {
	ctx, done := c.call()
	defer done()
	v, err := c.store.Version(ctx, l.Version)
	if err != nil {
		return err
	}
	if l.Note == "" {
		l.Note = fmt.Sprintf("back to version %d", l.Version)
	}
	return c.apply(v.Text, 0, l.waiting)
}

func (c *ctl) apply(text string, base int64, w waiting) error {
	if w.By == "" {
		host, _ := os.Hostname()
		w.By = "someone@" + host
		if u, err := user.Current(); err == nil {
			w.By = u.Username + "@" + host
		}
	}
	ctx, stop := context.WithTimeout(c.ctx, w.Wait)
	defer stop()
	for {
		id, err := c.propose(text, base, w)
		if err != nil && !errors.Is(err, etcd.ErrUnknown) {
			return err
		}
		change, err := c.await(ctx, id)
		if errors.Is(err, policy.ErrNoChange) && ctx.Err() == nil { // its answer was lost, and so was the proposal
			continue
		}
		return c.outcome(id, change, err)
	}
}

// propose proposes a change; after etcd.ErrUnknown it may have been proposed or not.
func (c *ctl) propose(text string, base int64, w waiting) (id string, err error) {
	ctx, done := c.call()
	defer done()
	v, err := c.store.View(ctx)
	if err != nil {
		return "", fmt.Errorf("the store does not answer (%w); nothing was proposed: name other nodes of it with --endpoint", err)
	}
	if base > 0 && (v.Current == nil || v.Current.Version != base) {
		return "", fmt.Errorf("the current version is not %d any more: look with 'sumactl policy show'; nothing was proposed", base)
	}
	id, err = c.store.Propose(ctx, v, text, w.By, w.Note, rollout.Limits{StepBackMs: w.StepBack.Milliseconds(), WaitMs: w.Limit.Milliseconds()})
	if err != nil && !errors.Is(err, etcd.ErrUnknown) {
		err = fmt.Errorf("%w; nothing was proposed", err)
	}
	return id, err
}

// await waits for the outcome of a change, and shows how far it is.
func (c *ctl) await(ctx context.Context, id string) (rollout.Change, error) {
	said := ""
	return c.store.Await(ctx, id, func(v rollout.View, now rollout.Change) {
		step := rollout.Checked
		if now.Phase == rollout.Preparing {
			step = rollout.Prepared
		}
		say := fmt.Sprintf("change %s: %s, round %d", now.ID, now.Phase, now.Round)
		if missing := v.Missing(&now, step); !now.Phase.Done() && len(missing) > 0 {
			say += ", waiting for " + strings.Join(missing, ", ")
		}
		if say != said {
			said = say
			_, _ = fmt.Fprintln(c.notes, say)
		}
	})
}

type outcomeLine struct {
	ID string `arg:"" help:"The change, as 'apply' named it."`
}

// Run tells what became of a change.
func (l *outcomeLine) Run(c *ctl) error {
	ctx, done := c.call()
	defer done()
	change, err := c.store.Outcome(ctx, l.ID)
	return c.outcome(l.ID, change, err)
}

// told is the outcome of a change as it is printed.
type told struct {
	Change  string `json:"change"`
	Outcome string `json:"outcome"` // committed, aborted or unknown
	Version int64  `json:"version,omitempty"`
	Phase   string `json:"phase,omitempty"` // of a change that still runs
	Router  string `json:"router,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// outcome prints what became of a change, and gives the exit code that says the same.
func (c *ctl) outcome(id string, change rollout.Change, err error) error {
	t, code, next := told{Change: id, Outcome: "unknown", Phase: string(change.Phase), Router: change.Router, Reason: change.Reason}, exitUnknown, ""
	switch {
	case errors.Is(err, policy.ErrNoChange):
		t.Outcome, t.Reason, code = string(rollout.Aborted), err.Error(), exitFailed
		next = "it changed nothing"
	case err == nil && change.Phase == rollout.Committed:
		t.Outcome, t.Version, t.Phase, code = "committed", change.Base+1, "", 0
	case err == nil && change.Phase == rollout.Aborted:
		t.Outcome, t.Phase, code = "aborted", "", exitFailed
		next = "it changed nothing: see to the router or the policy, then apply it again"
	default:
		if err != nil {
			t.Reason = err.Error()
		}
		next = "ask again with 'sumactl policy outcome " + id + "'"
	}
	shown := c.print(t, func(w io.Writer) error {
		text := t.Outcome
		if t.Version > 0 {
			text += fmt.Sprintf(": version %d is in force at every router", t.Version)
		}
		if t.Router != "" {
			text += ": router " + t.Router
		}
		if t.Reason != "" {
			text += ": " + t.Reason
		}
		_, err := fmt.Fprintln(w, text)
		return err
	})
	if shown != nil || code == 0 {
		return shown
	}
	return &exit{code, next}
}

type showLine struct {
	Version int64 `help:"A version that is kept; the current one, if absent."`
}

// Run prints a version.
func (l *showLine) Run(c *ctl) error {
	ctx, done := c.call()
	defer done()
	v, err := c.store.Version(ctx, l.Version)
	if err != nil {
		return err
	}
	return c.print(v, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "# version %d, by %s, %s %s\n%s", v.Version, v.By, v.At, v.Note, v.Text)
		return err
	})
}

// standing is a router as it is listed.
type standing struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	OnLapse string `json:"on_lapse"`
	Version int64  `json:"version"`
	Step    string `json:"step"`
	LeftS   int64  `json:"lease_left_s"` // below 0: it is over
	LeaseMs int64  `json:"lease_ms"`
	Reason  string `json:"reason,omitempty"`
	Boot    string `json:"boot"`
}

func (c *ctl) standings(ctx context.Context, v rollout.View) (out []standing) {
	for name, r := range v.Routers {
		s := standing{Name: name, Listen: r.Listen, OnLapse: r.OnLapse, LeaseMs: r.LeaseMs, LeftS: -1, Step: "silent", Boot: r.Boot}
		if a, said := v.Ack(name); said {
			s.Version, s.Step, s.Reason = a.Version, string(a.Step), a.Reason
		}
		if r.Lease != 0 {
			if left, err := c.store.Left(ctx, r.Lease); err == nil {
				s.LeftS = left
			}
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b standing) int { return strings.Compare(a.Name, b.Name) })
	return out
}

type statusLine struct{}

// Run shows the version, the change that runs and the routers.
func (l *statusLine) Run(c *ctl) error {
	ctx, done := c.call()
	defer done()
	v, err := c.store.View(ctx)
	if err != nil {
		return err
	}
	status := struct {
		Version *rollout.Version `json:"version"`
		Change  *rollout.Change  `json:"change"` // that runs; null: none
		Routers []standing       `json:"routers"`
	}{v.Current, v.Running(), c.standings(ctx, v)}
	return c.print(status, func(w io.Writer) error {
		head := "no policy yet: the first router that starts writes it"
		if v.Current != nil {
			head = fmt.Sprintf("version %d, by %s, %s", v.Current.Version, v.Current.By, v.Current.At)
		}
		if r := v.Running(); r != nil {
			head += fmt.Sprintf("\nchange %s by %s: %s, round %d", r.ID, r.By, r.Phase, r.Round)
		}
		if _, err := fmt.Fprintln(w, head); err != nil {
			return err
		}
		return listed(status.Routers)(w)
	})
}

func listed(list []standing) func(io.Writer) error {
	var rows []table.Row
	for _, s := range list {
		left := fmt.Sprintf("%d s", s.LeftS)
		if s.LeftS < 0 {
			left = "over"
		}
		rows = append(rows, table.Row{s.Name, s.Listen, s.OnLapse, s.Version, s.Step, left, s.Reason})
	}
	return tabled(table.Row{"router", "listens", "on lapse", "version", "step", "lease left", "why"}, rows)
}

type historyLine struct{}

// Run lists the ended changes.
func (l *historyLine) Run(c *ctl) error {
	ctx, done := c.call()
	defer done()
	ended, err := c.store.History(ctx)
	if err != nil {
		return err
	}
	var rows []table.Row
	for _, h := range ended {
		version := ""
		if h.Phase == rollout.Committed {
			version = fmt.Sprint(h.Base + 1)
		}
		rows = append(rows, table.Row{h.Seq, h.ID, h.At, h.By, h.Phase, version, h.Router, h.Reason, h.Note})
	}
	return c.print(ended, tabled(table.Row{"no", "change", "when", "by", "outcome", "version", "router", "why", "note"}, rows))
}

type schemaLine struct{}

// Run prints the schema.
func (l *schemaLine) Run(c *ctl) error {
	_, err := fmt.Fprint(c.out, config.PolicySchema)
	return err
}

type routersLine struct {
	List   routersListLine   `cmd:"" default:"1" help:"List the routers."`
	Remove routersRemoveLine `cmd:"" help:"Declare a router gone that has on_lapse = \"keep\", so that changes do not wait for it."`
}

type routersListLine struct{}

// Run lists the routers.
func (l *routersListLine) Run(c *ctl) error {
	ctx, done := c.call()
	defer done()
	v, err := c.store.View(ctx)
	if err != nil {
		return err
	}
	list := c.standings(ctx, v)
	return c.print(list, listed(list))
}

type routersRemoveLine struct {
	Name string `arg:"" help:"The router. Be sure that it is down: one that runs would serve on under an old version."`
}

// Run declares a router gone.
func (l *routersRemoveLine) Run(c *ctl) error {
	counted, err := c.gone(outage.ID(outage.Router, l.Name))
	if err != nil {
		return err
	}
	ctx, done := c.call()
	defer done()
	switch err := c.store.Remove(ctx, l.Name); {
	case err != nil && counted: // its lease had ended already, and with it its registration
		c.note(err.Error())
	case err != nil:
		return err
	}
	return c.print(map[string]string{"removed": l.Name}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s is declared gone; do not start it with its old store.dir while the store is away\n", l.Name)
		return err
	})
}
