package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"sumacloft/internal/decide/ledger"
	"sumacloft/internal/fleet/work"
)

type workLine struct {
	List    workListLine    `cmd:"" default:"1" help:"List the requests in hand by owner and step, and how many ended ones are kept."`
	Unknown workUnknownLine `cmd:"" help:"List what was settled as unknown, for a registrar to check by hand."`
	Show    workShowLine    `cmd:"" help:"Show one record, without what its client sent."`
}

// shown is a record as it is shown: nothing in it is a client's own words.
type shown struct {
	Key      string `json:"key"` // a digest
	Class    string `json:"class"`
	Owner    string `json:"owner"`
	Epoch    int64  `json:"epoch"`
	Step     string `json:"step"`
	Outcome  string `json:"outcome"`
	Worker   string `json:"worker,omitempty"`
	Attempts int    `json:"attempts"`
	Policy   int64  `json:"policy"`
	Taken    string `json:"taken"`
	Sent     string `json:"sent,omitempty"`
	Deadline string `json:"deadline"`
	Ended    string `json:"ended,omitempty"`
	Digest   string `json:"digest"`
	Trace    string `json:"trace,omitempty"`
}

func stamp(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}

func show(r ledger.Record) shown {
	return shown{r.Key, r.Class, r.Owner.Name, r.Epoch, r.Step.String(), r.Outcome.String(), r.Worker, r.Attempts, r.Version,
		stamp(r.TakenMs), stamp(r.FirstMs), stamp(r.Deadline), stamp(r.EndedMs), r.Digest, r.Trace}
}

// records reads what is in hand, or what ended and is kept.
func (c *ctl) records(ended bool) ([]ledger.Record, error) {
	ctx, done := c.call()
	defer done()
	r, err := c.store.Range(ctx, work.List(false, ended))
	if err != nil {
		return nil, err
	}
	out := make([]ledger.Record, 0, len(r.Kvs))
	for _, pair := range r.Kvs {
		rec, err := work.Decode(pair.Value, pair.ModRevision)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", pair.Key, err)
		}
		out = append(out, rec)
	}
	slices.SortFunc(out, func(a, b ledger.Record) int { return int(a.TakenMs - b.TakenMs) })
	return out, nil
}

func (c *ctl) printRecords(list []ledger.Record) error {
	rows, all := make([]table.Row, 0, len(list)), make([]shown, 0, len(list))
	for _, r := range list {
		s := show(r)
		all = append(all, s)
		rows = append(rows, table.Row{s.Key, s.Class, s.Owner, s.Epoch, s.Step, s.Outcome, s.Worker, s.Attempts, s.Taken, s.Sent, s.Ended})
	}
	return c.print(all, tabled(table.Row{"key", "class", "owner", "epoch", "step", "outcome", "sent to", "attempts", "taken", "sent", "ended"}, rows))
}

type workListLine struct {
	Owner string `help:"Only this router's."`
	Step  string `help:"Only those at this step: waiting, sent or streaming."`
	Ended bool   `help:"The ended ones that are kept, instead of those in hand."`
}

// Run lists records.
func (l *workListLine) Run(c *ctl) error {
	list, err := c.records(l.Ended)
	if err != nil {
		return err
	}
	list = slices.DeleteFunc(list, func(r ledger.Record) bool {
		return (l.Owner != "" && r.Owner.Name != l.Owner) || (l.Step != "" && r.Step.String() != l.Step)
	})
	return c.printRecords(list)
}

type workUnknownLine struct{}

// Run lists what was settled as unknown.
func (l *workUnknownLine) Run(c *ctl) error {
	list, err := c.records(true)
	if err != nil {
		return err
	}
	list = slices.DeleteFunc(list, func(r ledger.Record) bool { return r.Outcome != ledger.Unknown })
	return c.printRecords(list)
}

type workShowLine struct {
	Key string `arg:"" help:"The record's key, as the list shows it."`
}

// Run shows one record.
func (l *workShowLine) Run(c *ctl) error {
	for _, ended := range [...]bool{false, true} {
		list, err := c.records(ended)
		if err != nil {
			return err
		}
		if i := slices.IndexFunc(list, func(r ledger.Record) bool { return r.Key == l.Key }); i >= 0 {
			s := show(list[i])
			return c.print(s, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "%+v\n", s)
				return err
			})
		}
	}
	return fmt.Errorf("no record %q: its time may be over ('sumactl work list --ended' lists what is kept)", l.Key)
}
