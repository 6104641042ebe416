package reuse

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// FuzzDecode checks that any stored state is read without a panic, and that a valid one can be decided on and written again.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{`{}`, `{"seq":1,"by":"r","orders":1,"copies":[{"id":1,"prefix":7,"tokens":5,"from":"a","to":"b","server":"b1","boot":"1","phase":"here","left_ms":1}]}`,
		`{"rests":[{"prefix":1,"to":"b","left_ms":1e9}],"spill":{"a":{"b":0.3}}}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b)
		if err != nil {
			var rec *RecordError
			if !errors.As(err, &rec) {
				t.Fatal(err)
			}
			return
		}
		fl := newFleet("")
		fl.last = s
		for i := range 3 {
			fl.now += time.Second
			fl.step([]Report{{Router: "x", Region: "a", Rev: int64(i), Hot: []Use{{Prefix: flashKey, Tokens: 100, Count: 9, AgeMs: 100}}}})
			out, err := json.Marshal(fl.last)
			if err != nil {
				t.Fatal(err)
			}
			if _, err = Decode(out); err != nil {
				t.Fatalf("state written by the decider is invalid: %v in %s", err, out)
			}
		}
	})
}

// FuzzDecodeReport checks that any report is read without a panic, and that a valid one can be measured and decided on.
func FuzzDecodeReport(f *testing.F) {
	m := NewMeter(1e6)
	for i, u := range drawStream(1, 600, 1, 0) {
		m.Use(u.key, u.tokens, u.at)
		if i%100 == 0 {
			m.AddSample(m.TakeSample(u.at), u.at, 0)
		}
	}
	r := Report{Router: "r", Region: "a", Sample: m.TakeSample(time.Minute), Curve: m.Curve(), Rate: m.Rate(), Hot: m.Hot(time.Minute),
		Copies: []CopyStatus{{ID: 1, Hits: 2}}}
	b, err := json.Marshal(r)
	if err != nil {
		f.Fatal(err)
	}
	f.Logf("report of %d bytes", len(b))
	f.Add(b)
	f.Add([]byte(`{"hot":"AAAA","curve":{"miss":[1]}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeReport(b)
		if err != nil {
			var rec *RecordError
			if !errors.As(err, &rec) {
				t.Fatal(err)
			}
			return
		}
		fl := newFleet("")
		fl.meters["a"].AddSample(r.Sample, fl.now, 0)
		r.Region, r.Rev = "a", 7
		if s := fl.step([]Report{*r}); s != nil {
			out, _ := json.Marshal(s)
			if _, err := Decode(out); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// A report with full lists is within its maximum size and decodes to the same values. So is a full state.
func TestReportIsBounded(t *testing.T) {
	r := Report{Router: strings.Repeat("r", maxName), Region: strings.Repeat("z", maxName), Rate: 1.23456789e9, Curve: Curve{Tokens: 1e15}}
	r.Sample = Sample{Rate: 0.123456789, TotalTokens: 1e14, Refs: make([]byte, refSize*maxRefs)}
	for i := range MaxHotReported {
		r.Hot = append(r.Hot, Use{Prefix: 1<<63 + Key(i), Tokens: maxTokens, Count: 3.5, Overestimate: 2, AgeMs: 6_000_000, IdleMs: 6_000_000})
	}
	for i := range bucketCount {
		r.Curve.Miss = append(r.Curve.Miss, uint16(65535-i))
	}
	for range MaxCopyStatuses {
		r.Copies = append(r.Copies, CopyStatus{ID: 1 << 40, Arrived: true, Hits: 100_000, Lost: true})
	}
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeReport(b)
	if err != nil || decoded.Hot[5] != r.Hot[5] || len(decoded.Hot) != MaxHotReported {
		t.Fatalf("report is not decoded to the same values: %v, %d bytes", err, len(b))
	}
	t.Logf("a full report: %d bytes", len(b))
	s := State{Seq: 1 << 40, LastOrder: 1 << 40, By: strings.Repeat("r", maxName)}
	for i := range MaxCopies {
		s.Copies = append(s.Copies, Copy{ID: 1<<40 - int64(i), Prefix: 1<<64 - 1, Tokens: maxTokens, From: "zone-of-the-north", To: "zone-of-the-south",
			Server: "server-with-a-long-name-1", Boot: "0123456789abcdef", Phase: Ordered, LeftMs: 239999.123456, AgeMs: 123456789.123456,
			DrainServer: "server-with-a-long-name-2", Used: true})
	}
	for range maxCooldowns {
		s.Cooldowns = append(s.Cooldowns, Cooldown{Prefix: 1<<64 - 1, To: "zone-of-the-south", LeftMs: 480000.123456, Pending: true, SinceMs: 480000.123456})
	}
	s.Drains = map[string]DrainState{}
	for i := range MaxDrains {
		s.Drains[fmt.Sprintf("server-with-a-long-name-%02d", i)] = DrainState{Epoch: 1 << 40, Done: true}
	}
	b, _ = json.Marshal(s)
	if _, err := Decode(b); err != nil {
		t.Errorf("full state is not decoded: %v, %d bytes", err, len(b))
	}
	t.Logf("a full state: %d bytes", len(b))
}
