// Package wire reads and writes the frames of the simulator's wire: batches of events in, replies of actions
// out. It decides nothing.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes of the parts of a frame, in bytes.
const (
	eventSize  = 64
	actionSize = 24
	entrySize  = 24
	maxFrame   = 1 << 30
	valueCount = 4
)

// ErrMalformed is wrapped by every error on a frame that breaks the format.
var ErrMalformed = errors.New("malformed frame")

// Engine is an address of four bytes and a port, packed.
type Engine uint64

// Report is a load report; N values are set.
type Report struct {
	N      int
	Values [valueCount]float64
}

// Entry is one engine of a list.
type Entry struct {
	Engine       Engine
	Zone         int
	Kind         int
	Cell         int
	Availability uint8
	Weight       float64
	CameUpMs     float64
}

// Code tells what an event or an action is.
type Code uint8

// Event codes.
const (
	EvProvision Code = 10
	EvAnnounce  Code = 20
	EvAccept    Code = 30
	EvAccepted  Code = 40
	EvCompleted Code = 50
	EvVanished  Code = 60
	EvElapsed   Code = 70
	EvProbeDone Code = 80
	EvMemo      Code = 90
	EvDetach    Code = 100
	EvPlaceNote Code = 110
	EvAbout     Code = 120
)

// Outcomes of attempts.
const (
	OutcomeOK            = 0
	OutcomeMiss          = 210
	OutcomeMoot          = 249
	OutcomeCancelled     = 250
	OutcomeReset         = 251
	OutcomeConnectFailed = 252
	OutcomeTimeout       = 253
	OutcomeFull          = 254
	OutcomeError         = 255
)

// Event is one event record; only the fields of its Code are set.
type Event struct {
	Code     Code
	Instance uint32

	Seed     uint64 // Provision
	Settings []byte

	ListKind uint8 // Announce
	Version  uint32
	Entries  []Entry

	Call       uint64 // Accept and all that names a request
	Class      int
	Tenant     uint32
	Session    uint64
	GraceMs    float64
	EstimateMs float64
	Prefix     uint64
	Prompt     float64
	PrefixLen  float64
	MaxTokens  float64
	Flags      uint16

	Engine Engine // Accepted, Completed, ProbeDone, PlaceNote
	Trial  int
	TookMs float64
	How    uint16
	Note   uint32
	Last   bool
	Report Report

	Token uint64 // Elapsed

	Sender uint32 // Memo
	Raw    []byte

	Topic uint8 // PlaceNote
	Level float64
}

// Batch is all that happens at one time.
type Batch struct {
	NowMs  float64
	Events []Event
}

// ReadBatch reads one frame. It returns io.EOF only at a clean end of input.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [12]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("%w: header cut short after %d bytes", ErrMalformed, n)
	}
	size := binary.BigEndian.Uint32(head[8:])
	if size < 4 || size > maxFrame {
		return Batch{}, fmt.Errorf("%w: length %d", ErrMalformed, size)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return Batch{}, err
	}
	if len(body) < int(size) {
		return Batch{}, fmt.Errorf("%w: body of %d bytes, %d announced", ErrMalformed, len(body), size)
	}
	return decode(math.Float64frombits(binary.BigEndian.Uint64(head[:8])), body)
}

func decode(now float64, body []byte) (Batch, error) {
	count := uint64(binary.BigEndian.Uint32(body))
	if count*eventSize > uint64(len(body)-4) {
		return Batch{}, fmt.Errorf("%w: %d records in %d bytes", ErrMalformed, count, len(body))
	}
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return Batch{}, fmt.Errorf("%w: clock %v", ErrMalformed, now)
	}
	b := Batch{NowMs: now, Events: make([]Event, 0, count)}
	records := body[4 : 4+count*eventSize]
	tail := body[4+count*eventSize:]
	about, known := uint32(0), false
	for i := range int(count) {
		rec := record{data: records[i*eventSize : (i+1)*eventSize], tail: tail}
		if Code(rec.data[0]) == EvAbout {
			about, known = rec.u32(1), true
			continue
		}
		if !known {
			return Batch{}, fmt.Errorf("%w: record %d names no instance", ErrMalformed, i)
		}
		ev, err := rec.event()
		if err != nil {
			return Batch{}, fmt.Errorf("%w: record %d: %w", ErrMalformed, i, err)
		}
		ev.Instance = about
		b.Events = append(b.Events, ev)
	}
	return b, nil
}

// record is one event record and the tail that it may point into.
type record struct{ data, tail []byte }

func (r record) u8(at int) uint8    { return r.data[at] }
func (r record) u16(at int) uint16  { return binary.BigEndian.Uint16(r.data[at:]) }
func (r record) u32(at int) uint32  { return binary.BigEndian.Uint32(r.data[at:]) }
func (r record) u64(at int) uint64  { return binary.BigEndian.Uint64(r.data[at:]) }
func (r record) f32(at int) float64 { return finite(float64(math.Float32frombits(r.u32(at)))) }
func (r record) f64(at int) float64 { return finite(math.Float64frombits(r.u64(at))) }

func (r record) engine(at int) Engine {
	return Engine(uint64(r.u32(at))<<16 | uint64(r.u16(at+4)))
}

func (r record) report(at int) (Report, error) {
	rep := Report{N: int(r.u8(at))}
	if rep.N > valueCount {
		return rep, fmt.Errorf("report of %d values", rep.N)
	}
	for i := range rep.N {
		rep.Values[i] = r.f32(at + 1 + 4*i)
	}
	return rep, nil
}

// span returns the part of the tail that the field at names, its length counted in units of size bytes.
func (r record) span(at int, size uint64) ([]byte, error) {
	from, n := uint64(r.u32(at)), uint64(r.u32(at+4))*size
	if from+n > uint64(len(r.tail)) {
		return nil, fmt.Errorf("bytes %d to %d of a tail of %d", from, from+n, len(r.tail))
	}
	return r.tail[from : from+n], nil
}

func (r record) event() (Event, error) {
	ev := Event{Code: Code(r.u8(0))}
	var err error
	switch ev.Code {
	case EvProvision:
		ev.Seed = r.u64(1)
		ev.Settings, err = r.span(9, 1)
	case EvAnnounce:
		err = r.announce(&ev)
	case EvAccept:
		r.accept(&ev)
	case EvAccepted:
		ev.Call, ev.Engine, ev.Trial, ev.TookMs = r.u64(1), r.engine(9), int(r.u16(15)), r.f64(17)
	case EvCompleted:
		ev.Call, ev.Note, ev.How, ev.Engine = r.u64(1), r.u32(9), r.u16(13), r.engine(15)
		ev.Trial, ev.TookMs, ev.Last = int(r.u16(21)), r.f64(23), r.u8(31) != 0
		if !knownOutcome(ev.How) {
			return ev, fmt.Errorf("unknown outcome %d", ev.How)
		}
		ev.Report, err = r.report(32)
	case EvVanished:
		ev.Call = r.u64(1)
	case EvElapsed:
		ev.Token = r.u64(1)
	case EvProbeDone:
		ev.Engine, ev.How, ev.TookMs = r.engine(1), r.u16(7), r.f64(9)
		if !knownOutcome(ev.How) {
			return ev, fmt.Errorf("unknown outcome %d", ev.How)
		}
		ev.Report, err = r.report(17)
	case EvMemo:
		ev.Sender = r.u32(1)
		ev.Raw, err = r.span(5, 1)
	case EvDetach:
	case EvPlaceNote:
		ev.Call, ev.Level, ev.Topic = r.u64(1), r.f32(9), r.u8(13)
		ev.Trial, ev.Engine = int(r.u16(14)), r.engine(16)
	default:
		err = fmt.Errorf("unknown event code %d", ev.Code)
	}
	return ev, err
}

func (r record) accept(ev *Event) {
	ev.Call, ev.Class, ev.Tenant, ev.Session = r.u64(1), int(r.u8(9)), r.u32(10), r.u64(14)
	ev.GraceMs, ev.EstimateMs, ev.Prefix = r.f64(22), r.f64(30), r.u64(38)
	ev.Prompt, ev.PrefixLen, ev.MaxTokens, ev.Flags = r.f32(46), r.f32(50), r.f32(54), r.u16(58)
}

func (r record) announce(ev *Event) error {
	ev.ListKind, ev.Version = r.u8(1), r.u32(2)
	if ev.ListKind > 3 {
		return fmt.Errorf("unknown list kind %d", ev.ListKind)
	}
	data, err := r.span(6, entrySize)
	if err != nil {
		return err
	}
	ev.Entries = make([]Entry, len(data)/entrySize)
	for i := range ev.Entries {
		e := record{data: data[i*entrySize : (i+1)*entrySize]}
		ev.Entries[i] = Entry{Engine: e.engine(0), Zone: int(e.u8(6)), Kind: int(e.u16(7)), Cell: int(e.u16(9)),
			Availability: e.u8(11), Weight: e.f32(12), CameUpMs: e.f64(16)}
		if ev.Entries[i].Availability > 2 {
			return fmt.Errorf("unknown availability %d", ev.Entries[i].Availability)
		}
	}
	return nil
}

func knownOutcome(how uint16) bool {
	return how == OutcomeOK || how == OutcomeMiss || (how >= OutcomeMoot && how <= OutcomeError)
}

func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
