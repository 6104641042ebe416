package gather

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"sumacloft/internal/decide/outage"
)

// packed is an outage record as it is written: the majority's observation of each server is stored once, and for each router
// only its differences from that. The encoding is lossless, so decisions on gathered reports equal those on the reports
// themselves.
type packed struct {
	Record[reportDifference]
	Table map[string]outage.Observation `json:"table"`
}

type reportDifference struct {
	outage.Report
	Without []string `json:"without,omitempty"` // servers of the table that the router does not list
}

// RecordError reports a region's record that can't be read. Its routers count as late until its gatherer writes it again.
type RecordError struct {
	Region string
	Err    error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("gathered record of region %q is unusable: %v", e.Region, e.Err)
}

// Unwrap supports errors.Is and errors.As.
func (e *RecordError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *RecordError) Advice() string {
	return "the region's gatherer writes the record again within a period; if it does not, find out which process wrote the record and remove it"
}

// MaxPacked is the maximum size of a record in the store in bytes, MaxRecord that of the unpacked record. At the default
// period, ten regions write at most 1.3 MB a second.
const (
	MaxPacked = 256 << 10
	MaxRecord = 64 << 20
)

// Pack encodes a record as deflated JSON of at most limit bytes. To meet the limit, the observations of the routers that differ
// most from the majority are dropped; these routers then count as late.
func Pack(r *Record[outage.Report], limit int) ([]byte, error) {
	p := packed{Record[reportDifference]{r.Format, r.Region, r.Seq, r.By, r.Boot, map[string]Entry[reportDifference]{}, 0}, majorityTable(r)}
	for router, entry := range r.Entries {
		difference := reportDifference{Report: entry.Report}
		difference.Observed = map[string]outage.Observation{}
		found := 0
		for id, s := range entry.Report.All {
			common, ok := p.Table[id]
			if ok {
				found++
			}
			if !ok || common != s {
				difference.Observed[id] = s
			}
		}
		if found < len(p.Table) {
			for id := range p.Table {
				if _, ok := entry.Report.Observation(id); !ok {
					difference.Without = append(difference.Without, id)
				}
			}
			slices.Sort(difference.Without)
		}
		p.Entries[router] = Entry[reportDifference]{entry.Boot, entry.Number, entry.AgeMs, entry.Late, difference}
	}
	byDifference := slices.SortedFunc(maps.Keys(p.Entries), func(a, b string) int {
		size := func(n string) int { return len(p.Entries[n].Report.Observed) + len(p.Entries[n].Report.Without) }
		return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a, b))
	})
	for {
		data, err := deflate(p)
		if err != nil {
			return nil, &RecordError{r.Region, err}
		}
		if len(data) <= limit {
			return data, nil
		}
		if len(byDifference) == 0 {
			return nil, &RecordError{r.Region, fmt.Errorf("packed record has %d bytes, the limit is %d", len(data), limit)}
		}
		n := (len(byDifference) + 7) / 8
		for _, router := range byDifference[:n] {
			entry := p.Entries[router]
			entry.Late, entry.Report.Observed, entry.Report.Without = true, nil, nil
			p.Entries[router] = entry
		}
		byDifference = byDifference[n:]
	}
}

func deflate(p packed) ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err = w.Write(data); err != nil {
		return nil, err
	}
	if err = w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// majorityTable returns the majority's observation of each server, by the majority vote of Boyer and Moore (1981). Without a
// majority it is the observation of an arbitrary router, and the others are stored as differences.
func majorityTable(r *Record[outage.Report]) map[string]outage.Observation {
	type vote struct {
		value outage.Observation
		count int
	}
	votes := map[string]*vote{}
	for _, router := range slices.Sorted(maps.Keys(r.Entries)) {
		for id, s := range r.Entries[router].Report.All {
			switch v := votes[id]; {
			case v == nil:
				votes[id] = &vote{s, 1}
			case v.value == s:
				v.count++
			case v.count == 0:
				v.value, v.count = s, 1
			default:
				v.count--
			}
		}
	}
	out := make(map[string]outage.Observation, len(votes))
	for id, v := range votes {
		out[id] = v.value
	}
	return out
}

// Unpack decodes a record. An error is a *RecordError.
func Unpack(region string, data []byte) (*Record[outage.Report], error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), MaxRecord))
	if err != nil {
		return nil, &RecordError{region, err}
	}
	var p packed
	if err := json.Unmarshal(plain, &p); err != nil {
		return nil, &RecordError{region, err}
	}
	if p.Region != region {
		return nil, &RecordError{region, fmt.Errorf("record is of region %q", p.Region)}
	}
	r := &Record[outage.Report]{p.Format, p.Region, p.Seq, p.By, p.Boot, make(map[string]Entry[outage.Report], len(p.Entries)), 0}
	for router, entry := range p.Entries {
		report := entry.Report.Report
		report.Table, report.Absent = p.Table, entry.Report.Without
		r.Entries[router] = Entry[outage.Report]{entry.Boot, entry.Number, entry.AgeMs, entry.Late, report}
	}
	return r, nil
}

// unknownAge is the age, in milliseconds, of a report whose age is not known.
const unknownAge = 1e12

// Reports returns one report of each router, with its age, as input for a decider on outages. boots maps the registered routers
// to their boots: a report of another process of a router is used only if the registered one has not reported.
func Reports(records []*Record[outage.Report], boots map[string]string, broken Fault) []outage.Report {
	best := map[string]outage.Report{}
	for _, r := range records {
		for router, entry := range r.Entries {
			report := entry.Report
			report.Router, report.Boot, report.Rev, report.AgeMs = router, entry.Boot, r.Rev, entry.AgeMs
			if entry.Late {
				report.AgeMs = unknownAge
			}
			if broken == AgedSilence {
				report.Observed, report.Table = maps.Collect(report.All), nil
				for id, s := range report.Observed {
					s.SilentMs += entry.AgeMs
					report.Observed[id] = s
				}
			}
			if current, ok := best[router]; ok && (current.Boot == boots[router] && report.Boot != current.Boot ||
				current.Boot == report.Boot && current.AgeMs <= report.AgeMs) {
				continue
			}
			best[router] = report
		}
	}
	out := make([]outage.Report, 0, len(best))
	for _, router := range slices.Sorted(maps.Keys(best)) {
		out = append(out, best[router])
	}
	return out
}
