package reuse

import (
	"context"
	"time"
)

// ReleaseRow is what releases cost in a kind of drift: tokens, in thousands, that were read besides those of the same days without one.
type ReleaseRow struct {
	Drift    Drift      `json:"drift"`
	Wait     float64    `json:"wait_ms"` // for copies
	Openings Interval   `json:"openings"`
	All      Interval   `json:"all"`
	Moved    Interval   `json:"moved"`  // tokens that were copied, in thousands
	TookS    Interval   `json:"took_s"` // of the releases
	Late     int        `json:"late"`   // copies that came after their servers had gone
	Faults   []string   `json:"faults,omitempty"`
	Days     []Released `json:"days"`
}

// MeasureReleases runs releases of seeds that follow one another in each kind of drift, without a wait for copies and with one. It ends
// early with ctx; done is told of each day.
func MeasureReleases(ctx context.Context, from uint64, seeds int, wait time.Duration, done func(ReleaseSettings, Released)) ([]ReleaseRow, error) {
	var rows []ReleaseRow
	for _, d := range Drifts {
		var calm []Released
		for _, w := range []time.Duration{-1, 0, wait} { // -1: no release
			row := ReleaseRow{Drift: d, Wait: float64(w / time.Millisecond)}
			var openings, all, moved, took []float64
			for i := range seeds {
				if err := ctx.Err(); err != nil {
					return nil, err
				}
				set := StandardRelease(from+uint64(i), d, max(w, 0))
				if w < 0 {
					set.Begins = 0
				}
				day := Release(set)
				if done(set, day); w < 0 {
					calm = append(calm, day)
					continue
				}
				openings, all = append(openings, (day.Openings-calm[i].Openings)/1e3), append(all, (day.Read-calm[i].Read)/1e3)
				moved, took = append(moved, day.Moved/1e3), append(took, day.Took.Seconds())
				row.Late, row.Faults, row.Days = row.Late+day.Late, append(row.Faults, day.Faults...), append(row.Days, day)
			}
			if row.Openings, row.All, row.Moved, row.TookS = interval(openings), interval(all), interval(moved), interval(took); w >= 0 {
				rows = append(rows, row)
			}
		}
	}
	return rows, nil
}
