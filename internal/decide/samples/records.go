package samples

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Sample is one answer that a worker made for tuning, as the router reports it that had it in hand.
type Sample struct {
	// Key is that of its request: the same whoever reports it, also after the request was taken over.
	Key    uint64 `json:"key"`
	Worker string `json:"worker"`
	Boot   string `json:"boot"`
	Site   string `json:"site,omitempty"`
	// Label is the version that the worker's record claimed when it began, Version the one that its answer names, End
	// the one at its end where that differs.
	Label   int64 `json:"label"`
	Version int64 `json:"version"`
	End     int64 `json:"end,omitempty"`
	// StartEpoch is the number of the epoch that was open when its request was first taken. It goes with the record of the
	// request to whoever takes that over.
	StartEpoch int64 `json:"began"`
	AgeMs      int64 `json:"age_ms"`  // since it began
	Tokens     int   `json:"tokens"`  // of its answer
	TookMs     int64 `json:"took_ms"` // to make them
	Accepted   bool  `json:"accepted"`
}

// Key is the key of a sample, by that of its request.
func Key(request string) uint64 { return xxhash.Sum64String(request) }

// Report is what one process of a router has to say. Samples stay in it until the board's mark has passed them.
type Report struct {
	Router      string   `json:"router"`
	Boot        string   `json:"boot"`
	First       int64    `json:"first"` // the number of the first of Samples; they count from 1 with each boot
	Samples     []Sample `json:"samples,omitempty"`
	InFlight    int      `json:"in_hand"` // requests for samples that were taken and have not ended
	Interactive Load     `json:"clerks,omitzero"`
	Silent      bool     `json:"-"` // its carrier has not heard of the router for long
}

// Worker is a member's record, as far as samples go.
type Worker struct {
	Name, Boot, Site, Kind string
	Label                  int64 // the version that it claims to run
}

// Published is what the tuner wrote.
type Published struct {
	Version int64 `json:"version"`
	Epoch   int64 `json:"epoch,omitempty"` // the last epoch that it has taken; 0: one with each version
}

// ReadPublished reads the tuner's key: a number, or JSON with the epoch. An error is a *RecordError.
func ReadPublished(data []byte) (p Published, err error) {
	text := strings.TrimSpace(string(data))
	if p.Version, err = strconv.ParseInt(text, 10, 64); err != nil {
		p = Published{}
		err = json.Unmarshal(data, &p)
	}
	if err != nil {
		return Published{}, &RecordError{What: "tuner", Why: `neither a number nor {"version": N, "epoch": E}`, Err: err}
	}
	if p.Version < 0 || p.Epoch < 0 {
		return Published{}, &RecordError{What: "tuner", Why: "a version or epoch below 0"}
	}
	return p, nil
}

// ReadReport reads a router's report. An error is a *RecordError.
func ReadReport(data []byte) (r Report, err error) {
	if err := json.Unmarshal(data, &r); err != nil {
		return Report{}, &RecordError{What: "report", Why: "no report", Err: err}
	}
	return r, r.check()
}

func (r Report) check() error {
	fault := func(why string) error { return &RecordError{What: r.Router, Why: why} }
	switch {
	case !validName(r.Router) || !validName(r.Boot):
		return fault(fmt.Sprintf("router %q, boot %q: missing or longer than %d bytes", truncate(r.Router), truncate(r.Boot), MaxName))
	case len(r.Samples) > MaxSamples:
		return fault(fmt.Sprintf("%d samples, at most %d", len(r.Samples), MaxSamples))
	case !r.Interactive.valid():
		return fault("what clerks met is no count")
	case r.InFlight < 0 || r.First < 0 || r.First == 0 && len(r.Samples) > 0:
		return fault("numbers below what they count from")
	}
	for i, s := range r.Samples {
		if !validName(s.Worker) || len(s.Boot) > MaxName || len(s.Site) > MaxName || s.Tokens < 0 || s.TookMs < 0 || s.AgeMs < 0 || s.Version < 0 || s.End < 0 || s.Label < 0 {
			return fault(fmt.Sprintf("sample %d: a name is missing or too long, or a figure is below 0", i))
		}
	}
	return nil
}

func validName(s string) bool { return s != "" && len(s) <= MaxName }

func truncate(s string) string { return s[:min(len(s), MaxName)] }

// View is what is known at one moment.
type View struct {
	Model    Model
	Policy   int64  // the version of the policy that the model is of
	Last     *State // nil: there was none
	Tuner    *Published
	TunerRev int64 // the store's revision of what the tuner wrote
	Workers  []Worker
	Reports  []Report
}

// Sanitize is the view without what can't be used, and a *RecordError for each of these. Lists come out in an order of their
// own, so that all deciders count alike.
func (v View) Sanitize() (View, []error) {
	var faults []error
	var reports []Report
	for _, r := range v.Reports {
		if err := r.check(); err != nil {
			faults = append(faults, err)
			continue
		}
		reports = append(reports, r)
	}
	slices.SortStableFunc(reports, func(a, b Report) int { return strings.Compare(a.watermarkKey(), b.watermarkKey()) })
	var workers []Worker
	for _, w := range v.Workers {
		if !validName(w.Name) || len(w.Boot) > MaxName || len(w.Site) > MaxName || len(w.Kind) > MaxName {
			faults = append(faults, &RecordError{What: truncate(w.Name), Why: "a worker whose names are missing or too long"})
			continue
		}
		workers = append(workers, w)
	}
	slices.SortStableFunc(workers, func(a, b Worker) int { return strings.Compare(a.Name, b.Name) })
	if n := len(workers); n > MaxWorkers {
		faults = append(faults, &RecordError{What: workers[MaxWorkers].Name, Why: fmt.Sprintf("one of %d workers, at most %d are scored", n, MaxWorkers)})
		workers = workers[:MaxWorkers]
	}
	if n := len(reports); n > MaxRouters {
		faults = append(faults, &RecordError{What: reports[MaxRouters].Router, Why: fmt.Sprintf("one of %d reports, at most %d are counted", n, MaxRouters)})
		reports = reports[:MaxRouters]
	}
	v.Reports, v.Workers = reports, workers
	return v, faults
}

func (r Report) watermarkKey() string { return r.Router + " " + r.Boot }

// Keys are the keys of samples; in JSON they are packed, eight bytes each, in base64.
type Keys []uint64

// MarshalJSON serves json.Marshaler.
func (k Keys) MarshalJSON() ([]byte, error) {
	data := make([]byte, 0, 8*len(k))
	for _, key := range k {
		data = binary.LittleEndian.AppendUint64(data, key)
	}
	return json.Marshal(base64.StdEncoding.EncodeToString(data))
}

// UnmarshalJSON serves json.Unmarshaler.
func (k *Keys) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	if len(raw)%8 != 0 {
		return fmt.Errorf("packed keys of %d bytes", len(raw))
	}
	*k = nil
	for ; len(raw) > 0; raw = raw[8:] {
		*k = append(*k, binary.LittleEndian.Uint64(raw))
	}
	return nil
}
