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
	Record[apart]
	Table map[string]outage.Observation `json:"table"`
}

type apart struct {
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
func Pack(r *Record[outage.Report], most int) ([]byte, error) {
	p := packed{Record[apart]{r.Format, r.Region, r.Seq, r.By, r.Boot, map[string]Line[apart]{}, 0}, table(r)}
	for router, l := range r.Lines {
		one := apart{Report: l.Report}
		one.Observed = map[string]outage.Observation{}
		seen := 0
		for id, s := range l.Report.All {
			common, is := p.Table[id]
			if is {
				seen++
			}
			if !is || common != s {
				one.Observed[id] = s
			}
		}
		if seen < len(p.Table) {
			for id := range p.Table {
				if _, is := l.Report.Observation(id); !is {
					one.Without = append(one.Without, id)
				}
			}
			slices.Sort(one.Without)
		}
		p.Lines[router] = Line[apart]{l.Boot, l.Number, l.AgeMs, l.Late, one}
	}
	odd := slices.SortedFunc(maps.Keys(p.Lines), func(a, b string) int {
		size := func(name string) int { return len(p.Lines[name].Report.Observed) + len(p.Lines[name].Report.Without) }
		return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a, b))
	})
	for {
		data, err := deflated(p)
		if err != nil {
			return nil, &RecordError{r.Region, err}
		}
		if len(data) <= most {
			return data, nil
		}
		if len(odd) == 0 {
			return nil, &RecordError{r.Region, fmt.Errorf("%d bytes, %d at most", len(data), most)}
		}
		n := (len(odd) + 7) / 8
		for _, router := range odd[:n] {
			l := p.Lines[router]
			l.Late, l.Report.Observed, l.Report.Without = true, nil, nil
			p.Lines[router] = l
		}
		odd = odd[n:]
	}
}

func deflated(p packed) ([]byte, error) {
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

// table is what most see of each server, by the majority vote of Boyer and Moore (1981); where there is no majority it may be
// anybody's, and the others differ from it.
func table(r *Record[outage.Report]) map[string]outage.Observation {
	type vote struct {
		s outage.Observation
		n int
	}
	votes := map[string]*vote{}
	for _, router := range slices.Sorted(maps.Keys(r.Lines)) {
		for id, s := range r.Lines[router].Report.All {
			switch v := votes[id]; {
			case v == nil:
				votes[id] = &vote{s, 1}
			case v.s == s:
				v.n++
			case v.n == 0:
				v.s, v.n = s, 1
			default:
				v.n--
			}
		}
	}
	out := make(map[string]outage.Observation, len(votes))
	for id, v := range votes {
		out[id] = v.s
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
	r := &Record[outage.Report]{p.Format, p.Region, p.Seq, p.By, p.Boot, make(map[string]Line[outage.Report], len(p.Lines)), 0}
	for router, l := range p.Lines {
		one := l.Report.Report
		one.Table, one.Absent = p.Table, l.Report.Without
		r.Lines[router] = Line[outage.Report]{l.Boot, l.Number, l.AgeMs, l.Late, one}
	}
	return r, nil
}

// late is the age of what nobody knows the age of.
const late = 1e12

// Reports are what a decider on outages goes by: of each router one report, with its age. boots are those of the routers that are
// registered; what another process of a router reported stands only where the one that is registered has not reported.
func Reports(records []*Record[outage.Report], boots map[string]string, broken Fault) []outage.Report {
	best := map[string]outage.Report{}
	for _, r := range records {
		for router, l := range r.Lines {
			one := l.Report
			one.Router, one.Boot, one.Rev, one.AgeMs = router, l.Boot, r.Rev, l.AgeMs
			if l.Late {
				one.AgeMs = late
			}
			if broken == Silence {
				one.Observed, one.Table = maps.Collect(one.All), nil
				for id, s := range one.Observed {
					s.SilentMs += l.AgeMs
					one.Observed[id] = s
				}
			}
			if was, is := best[router]; is && (was.Boot == boots[router] && one.Boot != was.Boot || was.Boot == one.Boot && was.AgeMs <= one.AgeMs) {
				continue
			}
			best[router] = one
		}
	}
	out := make([]outage.Report, 0, len(best))
	for _, router := range slices.Sorted(maps.Keys(best)) {
		out = append(out, best[router])
	}
	return out
}
