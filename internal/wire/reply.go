package wire

import (
	"encoding/binary"
	"io"
	"math"
)

// Action codes.
const (
	AcPassOn      Code = 10
	AcDeny        Code = 20
	AcEndFailed   Code = 30
	AcCancel      Code = 40
	AcSchedule    Code = 50
	AcProbe       Code = 60
	AcHangUp      Code = 70
	AcBroadcastTo Code = 80
	AcRemark      Code = 90
	AcFatal       Code = 100
	AcSubscribe   Code = 110
	AcReload      Code = 120
	AcMigrate     Code = 130
	AcHoldPlace   Code = 140
	AcDropState   Code = 150
	AcAt          Code = 160
)

// Reply collects the actions of one frame. Its zero value is an empty reply.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
}

// Reset empties the reply and keeps its memory.
func (p *Reply) Reset() { p.records, p.tail, p.count = p.records[:0], p.tail[:0], 0 }

// WriteTo writes the frame.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	frame := make([]byte, 8, 8+len(p.records)+len(p.tail))
	binary.BigEndian.PutUint32(frame, uint32(4+len(p.records)+len(p.tail)))
	binary.BigEndian.PutUint32(frame[4:], p.count)
	frame = append(append(frame, p.records...), p.tail...)
	n, err := w.Write(frame)
	return int64(n), err
}

func (p *Reply) add(code Code) []byte {
	at := len(p.records)
	p.records = append(p.records, make([]byte, actionSize)...)
	p.count++
	p.records[at] = byte(code)
	return p.records[at:]
}

func (p *Reply) span(rec []byte, at int, data []byte) {
	binary.BigEndian.PutUint32(rec[at:], uint32(len(p.tail)))
	binary.BigEndian.PutUint32(rec[at+4:], uint32(len(data)))
	p.tail = append(p.tail, data...)
}

func (p *Reply) call(code Code, call uint64) []byte {
	rec := p.add(code)
	binary.BigEndian.PutUint64(rec[1:], call)
	return rec
}

func putMs(rec []byte, ms float64) { binary.BigEndian.PutUint64(rec, math.Float64bits(ms)) }

func putEngine(rec []byte, e Engine) {
	binary.BigEndian.PutUint32(rec, uint32(e>>16))
	binary.BigEndian.PutUint16(rec[4:], uint16(e))
}

// At selects the instance of the actions that follow.
func (p *Reply) At(instance uint32) { binary.BigEndian.PutUint32(p.add(AcAt)[1:], instance) }

// PassOn sends a request to an engine.
func (p *Reply) PassOn(call uint64, e Engine, giveUpAfterMs float64) {
	rec := p.call(AcPassOn, call)
	putEngine(rec[9:], e)
	putMs(rec[15:], giveUpAfterMs)
}

// Deny turns a request away.
func (p *Reply) Deny(call uint64, holdOffMs float64) { putMs(p.call(AcDeny, call)[9:], holdOffMs) }

// EndFailed ends a request without a promise.
func (p *Reply) EndFailed(call uint64) { p.call(AcEndFailed, call) }

// Cancel calls an attempt off.
func (p *Reply) Cancel(call uint64, trial int) {
	binary.BigEndian.PutUint16(p.call(AcCancel, call)[9:], uint16(trial))
}

// Schedule asks for an Elapsed event.
func (p *Reply) Schedule(timeMs float64, key uint64) {
	rec := p.add(AcSchedule)
	putMs(rec[1:], timeMs)
	binary.BigEndian.PutUint64(rec[9:], key)
}

// Probe tests an engine.
func (p *Reply) Probe(e Engine) { putEngine(p.add(AcProbe)[1:], e) }

// HangUp closes idle connections to an engine.
func (p *Reply) HangUp(e Engine) { putEngine(p.add(AcHangUp)[1:], e) }

// BroadcastTo sends bytes to a peer; 0xffff means all of them.
func (p *Reply) BroadcastTo(peer uint16, data []byte) {
	rec := p.add(AcBroadcastTo)
	binary.BigEndian.PutUint16(rec[1:], peer)
	p.span(rec, 3, data)
}

// Remark adds a line to the report.
func (p *Reply) Remark(text string) { p.span(p.add(AcRemark), 1, []byte(text)) }

// Fatal tells that the decision code has failed.
func (p *Reply) Fatal(text string) { p.span(p.add(AcFatal), 1, []byte(text)) }

// Subscribe turns the subscription to discovery on or off.
func (p *Reply) Subscribe(active bool) {
	rec := p.add(AcSubscribe)
	if active {
		rec[1] = 1
	}
}

// Reload asks for the whole list once.
func (p *Reply) Reload() { p.add(AcReload) }

// Migrate ends a running stream so that its client comes back.
func (p *Reply) Migrate(call uint64) { p.call(AcMigrate, call) }

// HoldPlace holds a place for a request at an engine.
func (p *Reply) HoldPlace(call uint64, e Engine) { putEngine(p.call(AcHoldPlace, call)[9:], e) }

// DropState releases what is held for a request.
func (p *Reply) DropState(call uint64) { p.call(AcDropState, call) }
