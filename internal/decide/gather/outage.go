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

// packed is a record on outages as it is written: what most of its routers see of each server stands once, and of each router
// what it sees differently. Nothing is left out, so decisions on gathered reports are those on the reports themselves.
type packed struct {
	Record[reportDifference]
	Table map[string]outage.Sight `json:"table"`
}

type reportDifference struct {
	outage.Report
	Without []string `json:"without,omitempty"` // servers of the table that the router does not have
}

// RecordError says that a region's record can't be read: its routers count as late, and its gatherer writes it anew.
type RecordError struct {
	Region string
	Err    error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("the gathered reports of region %q can't be read: %v", e.Region, e.Err)
}

// Unwrap serves errors.Is.
func (e *RecordError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *RecordError) Advice() string {
	return "its gatherer writes it anew within a period; where it does not, look who wrote the record and remove it"
}

// MaxPacked is how many bytes a record has at most in the store, MaxRecord what it is unpacked to: ten regions write 1.3 MB a
// second at most at the default period.
const (
	MaxPacked = 256 << 10
	MaxRecord = 64 << 20
)

// Pack encodes a record: JSON, deflated. It has at most so many bytes: where it would have more, the routers that differ most from
// the others are said without what they see, and count as late.
func Pack(r *Record[outage.Report], limit int) ([]byte, error) {
	p := packed{Record[reportDifference]{r.Format, r.Region, r.Seq, r.By, r.Boot, map[string]Entry[reportDifference]{}, 0}, majorityTable(r)}
	for router, entry := range r.Entries {
		difference := reportDifference{Report: entry.Report}
		difference.Sees = map[string]outage.Sight{}
		found := 0
		for id, s := range entry.Report.All {
			common, ok := p.Table[id]
			if ok {
				found++
			}
			if !ok || common != s {
				difference.Sees[id] = s
			}
		}
		if found < len(p.Table) {
			for id := range p.Table {
				if _, ok := entry.Report.Sight(id); !ok {
					difference.Without = append(difference.Without, id)
				}
			}
			slices.Sort(difference.Without)
		}
		p.Entries[router] = Entry[reportDifference]{entry.Boot, entry.Number, entry.AgeMs, entry.Late, difference}
	}
	byDifference := slices.SortedFunc(maps.Keys(p.Entries), func(a, b string) int {
		size := func(name string) int { return len(p.Entries[name].Report.Sees) + len(p.Entries[name].Report.Without) }
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
			return nil, &RecordError{r.Region, fmt.Errorf("%d bytes, %d at most", len(data), limit)}
		}
		n := (len(byDifference) + 7) / 8
		for _, router := range byDifference[:n] {
			entry := p.Entries[router]
			entry.Late, entry.Report.Sees, entry.Report.Without = true, nil, nil
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

// majorityTable is what most see of each server, by the majority vote of Boyer and Moore (1981); where there is no majority it may be
// anybody's, and the others differ from it.
func majorityTable(r *Record[outage.Report]) map[string]outage.Sight {
	type vote struct {
		value outage.Sight
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
	out := make(map[string]outage.Sight, len(votes))
	for id, v := range votes {
		out[id] = v.value
	}
	return out
}

// Unpack reads a record. An error is a *RecordError.
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
		return nil, &RecordError{region, fmt.Errorf("it is of region %q", p.Region)}
	}
	r := &Record[outage.Report]{p.Format, p.Region, p.Seq, p.By, p.Boot, make(map[string]Entry[outage.Report], len(p.Entries)), 0}
	for router, entry := range p.Entries {
		report := entry.Report.Report
		report.Table, report.Lacks = p.Table, entry.Report.Without
		r.Entries[router] = Entry[outage.Report]{entry.Boot, entry.Number, entry.AgeMs, entry.Late, report}
	}
	return r, nil
}

// unknownAge is the age of what nobody knows the age of.
const unknownAge = 1e12

// Reports are what a decider on outages goes by: of each router one report, with its age. boots are those of the routers that are
// registered; what another process of a router reported stands only where the one that is registered has not reported.
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
				report.Sees, report.Table = maps.Collect(report.All), nil
				for id, s := range report.Sees {
					s.SilentMs += entry.AgeMs
					report.Sees[id] = s
				}
			}
			if current, ok := best[router]; ok && (current.Boot == boots[router] && report.Boot != current.Boot || current.Boot == report.Boot && current.AgeMs <= report.AgeMs) {
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
