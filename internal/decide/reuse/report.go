package reuse

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
)

// Report is a router's report on the time since its last one. In JSON it has at most MaxReport bytes.
type Report struct {
	Router string  `json:"router"`
	Region string  `json:"region"`
	Sample Sample  `json:"sample"`
	Curve  Curve   `json:"curve"` // of its region
	Rate   float64 `json:"rate"`  // prefix tokens used at this router per second
	Hot    Uses    `json:"hot,omitempty"`
	// Copies are statuses learned since the last report, at most MaxCopyStatuses.
	Copies []CopyStatus `json:"copies,omitempty"`
	Busy   Busy         `json:"busy,omitempty"`
	Rev    int64        `json:"-"` // store revision of the report
}

// Bounds of a report: 2.7 KB of samples, 0.6 KB of a curve, 5.7 KB of hot prefixes, 60 bytes for each copy status and 75 for each
// busy server.
const (
	MaxCopyStatuses = 256
	MaxReport       = 29 << 10
)

// CopyStatus is what a router or server reports about one copy.
type CopyStatus struct {
	ID      int64 `json:"id"`
	Arrived bool  `json:"here,omitempty"` // it has arrived
	Hits    int   `json:"used,omitempty"` // requests that found it
	Lost    bool  `json:"gone,omitempty"` // its server does not have it, or copying failed
}

// Uses are encoded in JSON as base64, with 22 bytes for each use.
type Uses []Use

const useSize = 22

// MarshalJSON packs the uses. Durations are truncated to tenths of a second, counts to 1/256.
func (u Uses) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, useSize*len(u))
	tenths := func(ms int64) uint16 { return uint16(min(max(ms/100, 0), math.MaxUint16)) }
	for _, use := range u {
		b = binary.BigEndian.AppendUint64(b, uint64(use.Prefix))
		b = binary.BigEndian.AppendUint32(b, uint32(use.Tokens))
		b = binary.BigEndian.AppendUint32(b, uint32(min(use.Count, 1<<23)*256))
		b = binary.BigEndian.AppendUint16(b, uint16(min(use.Overestimate*16, math.MaxUint16)))
		b = binary.BigEndian.AppendUint16(b, tenths(use.AgeMs))
		b = binary.BigEndian.AppendUint16(b, tenths(use.IdleMs))
	}
	return json.Marshal(b)
}

// UnmarshalJSON decodes the result of MarshalJSON.
func (u *Uses) UnmarshalJSON(data []byte) error {
	var b []byte
	if err := json.Unmarshal(data, &b); err != nil {
		return err
	}
	if len(b)%useSize != 0 || len(b) > useSize*MaxHotReported {
		return fmt.Errorf("invalid length of packed uses: %d bytes", len(b))
	}
	*u = nil
	for ; len(b) > 0; b = b[useSize:] {
		*u = append(*u, Use{Prefix: Key(binary.BigEndian.Uint64(b)), Tokens: int(binary.BigEndian.Uint32(b[8:])),
			Count: float64(binary.BigEndian.Uint32(b[12:])) / 256, Overestimate: float64(binary.BigEndian.Uint16(b[16:])) / 16,
			AgeMs: 100 * int64(binary.BigEndian.Uint16(b[18:])), IdleMs: 100 * int64(binary.BigEndian.Uint16(b[20:]))})
	}
	return nil
}

// DecodeReport reads a report from any bytes. Its errors are *RecordError.
func DecodeReport(b []byte) (*Report, error) {
	if len(b) > MaxReport {
		return nil, &RecordError{Field: "whole record", Says: fmt.Sprintf("%d bytes, at most %d", len(b), MaxReport)}
	}
	var r Report
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, &RecordError{Says: "not a report in JSON", Err: err}
	}
	if err := r.Check(); err != nil {
		return nil, err
	}
	return &r, nil
}

// Check validates a report. Its errors are *RecordError.
func (r *Report) Check() error {
	switch {
	case len(r.Router) > maxName || len(r.Region) > maxName:
		return &RecordError{Field: "router", Says: "router or region name is too long"}
	case !r.Curve.valid():
		return &RecordError{Field: "curve", Says: "not a valid miss-ratio curve"}
	case !(r.Rate >= 0 && r.Rate < 1e15) || !(r.Sample.TotalTokens >= 0 && r.Sample.TotalTokens < 1e15):
		return &RecordError{Field: "rate", Says: fmt.Sprintf("invalid rate of %g tokens per second or total of %g tokens", r.Rate, r.Sample.TotalTokens)}
	case !(r.Sample.Rate >= 0 && r.Sample.Rate <= 1) || len(r.Sample.Refs)%refSize != 0 || len(r.Sample.Refs) > refSize*maxRefs:
		return &RecordError{Field: "sample", Says: fmt.Sprintf("invalid sample of %d bytes at a sampling rate of %g", len(r.Sample.Refs), r.Sample.Rate)}
	case !r.Busy.valid():
		return &RecordError{Field: "busy", Says: fmt.Sprintf("%d busy servers, at most %d allowed, each with a valid name and count",
			len(r.Busy), MaxBusy)}
	case len(r.Copies) > MaxCopyStatuses:
		return &RecordError{Field: "copies", Says: fmt.Sprintf("%d copy statuses, at most %d allowed", len(r.Copies), MaxCopyStatuses)}
	}
	for i, u := range r.Hot {
		if u.Tokens <= 0 || u.Tokens > maxTokens {
			return &RecordError{Field: fmt.Sprintf("hot[%d]", i), Says: fmt.Sprintf("invalid prefix length of %d tokens", u.Tokens)}
		}
	}
	return nil
}
