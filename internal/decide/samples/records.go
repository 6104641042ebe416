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

// Sample is one answer that a worker generated for tuning, as reported by the router that handled its request.
type Sample struct {
	// Key is the key of its request. It is the same whichever router reports it, also after the request was taken over.
	Key    uint64 `json:"key"`
	Worker string `json:"worker"`
	Boot   string `json:"boot"`
	Site   string `json:"site,omitempty"`
	// Label is the version that the worker's record claimed when the sample began. Version is the version named in the answer,
	// End the version at its end if that differs.
	Label   int64 `json:"label"`
	Version int64 `json:"version"`
	End     int64 `json:"end,omitempty"`
	// StartEpoch is the number of the epoch that was open when its request was first admitted. A router that takes the request
	// over gets it with the request's record.
	StartEpoch int64 `json:"began"`
	AgeMs      int64 `json:"age_ms"`  // since the sample began
	Tokens     int   `json:"tokens"`  // tokens of the answer
	TookMs     int64 `json:"took_ms"` // time to generate them
	Accepted   bool  `json:"accepted"`
}

// Key returns the key of a sample from the key of its request.
func Key(request string) uint64 { return xxhash.Sum64String(request) }

// Report is the report of one process of a router. Samples are kept in it until the watermark in the state has passed them.
type Report struct {
	Router      string   `json:"router"`
	Boot        string   `json:"boot"`
	First       int64    `json:"first"` // the number of the first of Samples, starting at 1 with each boot
	Samples     []Sample `json:"samples,omitempty"`
	InFlight    int      `json:"in_hand"` // sample requests that were admitted and have not ended
	Interactive Load     `json:"clerks,omitzero"`
	Silent      bool     `json:"-"` // set by the reader: the router has not reported for a while
}

// Worker is the part of a member's record that concerns samples.
type Worker struct {
	Name, Boot, Site, Kind string
	Label                  int64 // the version that the worker claims to run
}

// Published is the tuner's record.
type Published struct {
	Version int64 `json:"version"`
	Epoch   int64 `json:"epoch,omitempty"` // the last epoch taken; 0: one epoch is taken with each version
}

// ReadPublished decodes the tuner's record: a number, or JSON with the epoch. An error is a *RecordError.
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
		return Published{}, &RecordError{What: "tuner", Why: "negative version or epoch"}
	}
	return p, nil
}

// ReadReport decodes a router's report. An error is a *RecordError.
func ReadReport(data []byte) (r Report, err error) {
	if err := json.Unmarshal(data, &r); err != nil {
		return Report{}, &RecordError{What: "report", Why: "not a valid report", Err: err}
	}
	return r, r.check()
}

func (r Report) check() error {
	fault := func(why string) error { return &RecordError{What: r.Router, Why: why} }
	switch {
	case !validName(r.Router) || !validName(r.Boot):
		return fault(fmt.Sprintf("router %q, boot %q: missing or longer than %d bytes", truncate(r.Router), truncate(r.Boot), MaxName))
	case len(r.Samples) > MaxSamples:
		return fault(fmt.Sprintf("%d samples exceed the maximum of %d", len(r.Samples), MaxSamples))
	case !r.Interactive.valid():
		return fault("the counts of interactive requests are negative or not finite")
	case r.InFlight < 0 || r.First < 0 || r.First == 0 && len(r.Samples) > 0:
		return fault("the in-flight count or the first sample number is too small")
	}
	for i, s := range r.Samples {
		if !validName(s.Worker) || len(s.Boot) > MaxName || len(s.Site) > MaxName || s.Tokens < 0 || s.TookMs < 0 || s.AgeMs < 0 || s.Version < 0 || s.End < 0 || s.Label < 0 {
			return fault(fmt.Sprintf("sample %d: a name is missing or too long, or a number is negative", i))
		}
	}
	return nil
}

func validName(s string) bool { return s != "" && len(s) <= MaxName }

func truncate(s string) string { return s[:min(len(s), MaxName)] }

// View is the input of a decision.
type View struct {
	Model    Model
	Policy   int64  // the version of the policy that the model comes from
	Last     *State // nil if there is none
	Tuner    *Published
	TunerRev int64 // the store's revision of the tuner's record
	Workers  []Worker
	Reports  []Report
}

// Sanitize returns the view without unusable entries, and a *RecordError for each of these. Lists are sorted, so that all
// deciders process them in the same order.
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
			faults = append(faults, &RecordError{What: truncate(w.Name), Why: "worker with a missing or too long name"})
			continue
		}
		workers = append(workers, w)
	}
	slices.SortStableFunc(workers, func(a, b Worker) int { return strings.Compare(a.Name, b.Name) })
	if n := len(workers); n > MaxWorkers {
		faults = append(faults, &RecordError{What: workers[MaxWorkers].Name,
			Why: fmt.Sprintf("not scored: there are %d workers, the maximum is %d", n, MaxWorkers)})
		workers = workers[:MaxWorkers]
	}
	if n := len(reports); n > MaxRouters {
		faults = append(faults, &RecordError{What: reports[MaxRouters].Router,
			Why: fmt.Sprintf("not counted: there are %d reports, the maximum is %d", n, MaxRouters)})
		reports = reports[:MaxRouters]
	}
	v.Reports, v.Workers = reports, workers
	return v, faults
}

func (r Report) watermarkKey() string { return r.Router + " " + r.Boot }

// Keys are sample keys. In JSON they are packed as eight bytes each and encoded in base64.
type Keys []uint64

// MarshalJSON implements json.Marshaler.
func (k Keys) MarshalJSON() ([]byte, error) {
	data := make([]byte, 0, 8*len(k))
	for _, key := range k {
		data = binary.LittleEndian.AppendUint64(data, key)
	}
	return json.Marshal(base64.StdEncoding.EncodeToString(data))
}

// UnmarshalJSON implements json.Unmarshaler.
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
		return fmt.Errorf("packed keys have %d bytes, not a multiple of 8", len(raw))
	}
	*k = nil
	for ; len(raw) > 0; raw = raw[8:] {
		*k = append(*k, binary.LittleEndian.Uint64(raw))
	}
	return nil
}
