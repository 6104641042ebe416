package main

import (
	"fmt"
	"io"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/reuse"
	"sumacloft/internal/decide/samples"
	fleetreuse "sumacloft/internal/fleet/reuse"
	fleetsamples "sumacloft/internal/fleet/samples"
)

// showRoom shows the number that follows room, and what became of halts.
func showRoom(w io.Writer, s *outage.State) error {
	if r := s.Headroom; r != nil {
		more := ""
		if r.Rising {
			more = fmt.Sprintf("; there is room for %d", r.LowestLimit)
		}
		if _, err := fmt.Fprintf(w, "the number follows room: %d may be out%s; %.0f%% of the fullest role were used when that was written\n", r.Limit, more, 100*r.Utilization); err != nil {
			return err
		}
	}
	if h := s.Hindsight; h.Halts.Open+h.Halts.Settled() > 0 {
		if _, err := fmt.Fprintf(w, "halts in hindsight: %v\n", h.Halts); err != nil {
			return err
		}
		for _, one := range h.Recent {
			if _, err := fmt.Fprintf(w, "  %s, halted at %d: %s, %s\n", one.Release, one.Seq, one.Verdict, one.Why); err != nil {
				return err
			}
		}
	}
	return nil
}

// decided is what 'release status' shows: the state of outages, and what copies and holds turned out to be, where they are decided.
type decided struct {
	*outage.State
	Copies *reuse.Hindsight   `json:"copies_hindsight,omitempty"`
	Board  *samples.Hindsight `json:"samples_hindsight,omitempty"`
}

// beside reads what became of copies and of the board's holds and weights. A record that can't be read is left out: the routers'
// logs name it.
func (c *ctl) beside(d *decided) error {
	pair, err := c.pair(fleetreuse.Records(nil).StateKey())
	if err != nil {
		return err
	}
	if pair != nil {
		if s, err := reuse.Decode(pair.Value); err == nil {
			d.Copies = &s.Hindsight
		}
	}
	if pair, err = c.pair(fleetsamples.BoardKey); err != nil {
		return err
	}
	if pair != nil {
		if s, err := samples.ReadState(pair.Value); err == nil {
			d.Board = &s.Hindsight
		}
	}
	return nil
}

// showBeside shows it.
func (d *decided) showBeside(w io.Writer) error {
	if h := d.Copies; h != nil {
		if _, err := fmt.Fprintf(w, "copies in hindsight: orders %v; releases %v\n", h.Copies, h.Releases); err != nil {
			return err
		}
	}
	if h := d.Board; h != nil {
		if _, err := fmt.Fprintf(w, "samples in hindsight: holds %v; weights above the mean %v\n", h.Holds, h.Weights); err != nil {
			return err
		}
	}
	return nil
}
