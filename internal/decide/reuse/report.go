package reuse

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
)

// Report is what a router says of the time since its last one. In JSON it has at most MaxReport bytes.
type Report struct {
	Router string  `json:"router"`
	Region string  `json:"region"`
	Sample Sample  `json:"sample"`
	Curve  Curve   `json:"curve"` // of its region
	Rate   float64 `json:"rate"`  // prefix tokens used at this router, a second
	Hot    Uses    `json:"hot,omitempty"`
	// Copies are those it has learned something of since its last report, at most MaxWords.
	Copies []CopyStatus `json:"copies,omitempty"`
	Busy   Busy         `json:"busy,omitempty"`
	Rev    int64        `json:"-"` // the store's revision of the report
}

// Bounds of a report: 2.7 KB of samples, 0.6 KB of a curve, 5.7 KB of hot prefixes, 60 bytes for each copy that it has a
// word on and 75 for each busy server.
const (
	MaxCopyStatuses = 256
	MaxReport       = 29 << 10
)

// CopyStatus is what a router or server says of one copy.
type CopyStatus struct {
	ID      int64 `json:"id"`
	Arrived bool  `json:"here,omitempty"` // it has arrived
	Hits    int   `json:"used,omitempty"` // requests that found it
	Lost    bool  `json:"gone,omitempty"` // its server has it not, or it could not be copied
}

// Uses are packed in JSON: 22 bytes each, in base64.
type Uses []Use

const useSize = 22

// MarshalJSON packs them; durations are cut to tenths of a second, counts to a 256th.
func (u Uses) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, useSize*len(u))
	tenths := func(ms int64) uint16 { return uint16(min(max(ms/100, 0), math.MaxUint16)) }
	for _, one := range u {
		b = binary.BigEndian.AppendUint64(b, uint64(one.Prefix))
		b = binary.BigEndian.AppendUint32(b, uint32(one.Tokens))
		b = binary.BigEndian.AppendUint32(b, uint32(min(one.Count, 1<<23)*256))
		b = binary.BigEndian.AppendUint16(b, uint16(min(one.Overestimate*16, math.MaxUint16)))
		b = binary.BigEndian.AppendUint16(b, tenths(one.AgeMs))
		b = binary.BigEndian.AppendUint16(b, tenths(one.IdleMs))
	}
	return json.Marshal(b)
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (u *Uses) UnmarshalJSON(data []byte) error {
	var b []byte
	if err := json.Unmarshal(data, &b); err != nil {
		return err
	}
	if len(b)%useSize != 0 || len(b) > useSize*MaxHotReported {
		return fmt.Errorf("%d bytes of uses", len(b))
	}
	*u = nil
	for ; len(b) > 0; b = b[useSize:] {
		*u = append(*u, Use{Prefix: Key(binary.BigEndian.Uint64(b)), Tokens: int(binary.BigEndian.Uint32(b[8:])), Count: float64(binary.BigEndian.Uint32(b[12:])) / 256,
			Overestimate: float64(binary.BigEndian.Uint16(b[16:])) / 16, AgeMs: 100 * int64(binary.BigEndian.Uint16(b[18:])), IdleMs: 100 * int64(binary.BigEndian.Uint16(b[20:]))})
	}
	return nil
}

// DecodeReport reads a report, whatever bytes are there; its errors are *RecordError.
func DecodeReport(b []byte) (*Report, error) {
	if len(b) > MaxReport {
		return nil, &RecordError{Field: "all of it", Says: fmt.Sprintf("%d bytes, at most %d", len(b), MaxReport)}
	}
	var r Report
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, &RecordError{Says: "it is no JSON of a report", Err: err}
	}
	if err := r.Check(); err != nil {
		return nil, err
	}
	return &r, nil
}

// Check tells what of a report cannot be used, as a *RecordError.
func (r *Report) Check() error {
	switch {
	case len(r.Router) > maxName || len(r.Region) > maxName:
		return &RecordError{Field: "router", Says: "a name is too long"}
	case !r.Curve.valid():
		return &RecordError{Field: "curve", Says: "it is no curve"}
	case !(r.Rate >= 0 && r.Rate < 1e15) || !(r.Sample.TotalTokens >= 0 && r.Sample.TotalTokens < 1e15):
		return &RecordError{Field: "rate", Says: fmt.Sprintf("%g a second, %g seen", r.Rate, r.Sample.TotalTokens)}
	case !(r.Sample.Rate >= 0 && r.Sample.Rate <= 1) || len(r.Sample.Refs)%refSize != 0 || len(r.Sample.Refs) > refSize*maxRefs:
		return &RecordError{Field: "sample", Says: fmt.Sprintf("%d bytes at a rate of %g", len(r.Sample.Refs), r.Sample.Rate)}
	case !r.Busy.valid():
		return &RecordError{Field: "busy", Says: fmt.Sprintf("%d servers, at most %d, or a count below 0", len(r.Busy), MaxBusy)}
	case len(r.Copies) > MaxCopyStatuses:
		return &RecordError{Field: "copies", Says: fmt.Sprintf("%d, at most %d", len(r.Copies), MaxCopyStatuses)}
	}
	for i, u := range r.Hot {
		if u.Tokens <= 0 || u.Tokens > maxTokens {
			return &RecordError{Field: fmt.Sprintf("hot[%d]", i), Says: fmt.Sprintf("%d tokens", u.Tokens)}
		}
	}
	return nil
}
