package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

// unhex reads the notation of the wire's description: hex digits, +N for zero bytes.
func unhex(t testing.TB, text string) []byte {
	var out []byte
	for _, word := range strings.Fields(text) {
		var zeros int
		if strings.HasPrefix(word, "+") {
			for _, c := range word[1:] {
				zeros = 10*zeros + int(c-'0')
			}
			out = append(out, make([]byte, zeros)...)
			continue
		}
		data, err := hex.DecodeString(word)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, data...)
	}
	return out
}

const printedBatch = `40c06e2000000000 00000144 00000005
	78 00000003 +59
	1e 0002555f5d3a91c4 00 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 2b8e6401d9f37c10 44e10000
	44960000 43800000 0001 +4
	46 000000000000004d +55
	78 00000005 +59
	3c 000eeac80e6f2b19 +55`

const printedReply = `0000008d 00000005
	a0 00000003 +19
	0a 0002555f5d3a91c4 0a124a07 2bc3 4054000000000000 +1
	32 40c1682000000000 000000000000004d +7
	a0 00000005 +19
	5a 00000000 00000011 +15
	74776f2073657276657273206b6e6f776e`

const printedList = `0000000000000000 000000b4 00000002
	78 00000003 +59
	14 02 00000029 00000000 00000002 +50
	0a124a07 2bc3 00 0000 0000 00 3f800000 0000000000000000
	0a9011f2 2bec 01 0000 0000 00 3fc00000 40b7d40000000000`

const printedOutcome = `0000000000000000 00000084 00000002
	78 00000003 +59
	32 0002555f5d3a91c4 00000000 0000 0a124a07 2bc3 0000 4032800000000000 01 03 41680000 3ecccccd 3fa00000
	00000000 +15`

func read(t *testing.T, text string) Batch {
	t.Helper()
	b, err := ReadBatch(bytes.NewReader(unhex(t, text)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestPrintedBatch(t *testing.T) {
	b := read(t, printedBatch)
	want := []Event{
		{Code: EvAccept, Instance: 3, Call: 0x2555f5d3a91c4, Session: 0x91f03b7c55d20a64, GraceMs: 240, EstimateMs: 12,
			Prefix: 0x2b8e6401d9f37c10, Prompt: 1800, PrefixLen: 1200, MaxTokens: 256, Flags: 1},
		{Code: EvElapsed, Instance: 3, Token: 0x4d},
		{Code: EvVanished, Instance: 5, Call: 0xeeac80e6f2b19},
	}
	if b.NowMs != 8412.25 || !reflect.DeepEqual(b.Events, want) {
		t.Fatalf("got %+v", b)
	}
}

func TestPrintedReply(t *testing.T) {
	var p Reply
	p.At(3)
	p.PassOn(0x2555f5d3a91c4, 0x0a124a072bc3, 80)
	p.Schedule(8912.25, 0x4d)
	p.At(5)
	p.Remark("two servers known")
	same(t, &p, printedReply)
}

func same(t *testing.T, p *Reply, text string) {
	t.Helper()
	var out bytes.Buffer
	if _, err := p.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	if want := unhex(t, text); !bytes.Equal(out.Bytes(), want) {
		t.Fatalf("got  %x\nwant %x", out.Bytes(), want)
	}
}

func TestOtherActions(t *testing.T) {
	var p Reply
	p.HoldPlace(0x2555f5d3a91c4, 0x0a9011f22bec)
	p.DropState(0xeeac80e6f2b19)
	p.BroadcastTo(0xffff, []byte("h 97"))
	p.Cancel(1, 2)
	p.Deny(1, 80)
	p.EndFailed(1)
	p.Probe(0x0a124a072bc3)
	p.HangUp(0x0a124a072bc3)
	p.Subscribe(true)
	p.Reload()
	p.Migrate(1)
	p.Fatal("no")
	same(t, &p, `0000012a 0000000c
		8c 0002555f5d3a91c4 0a9011f2 2bec +9
		96 000eeac80e6f2b19 +15
		50 ffff 00000000 00000004 +13
		28 0000000000000001 0002 +13
		14 0000000000000001 4054000000000000 +7
		1e 0000000000000001 +15
		3c 0a124a07 2bc3 +17
		46 0a124a07 2bc3 +17
		6e 01 +22
		78 +23
		82 0000000000000001 +15
		64 00000004 00000002 +15
		68203937 6e6f`)
}

func TestPrintedEmptyFrames(t *testing.T) {
	if b := read(t, "40c06e2000000000 00000004 00000000"); len(b.Events) != 0 {
		t.Fatalf("got %+v", b)
	}
	same(t, &Reply{}, "00000004 00000000")
}

func TestPrintedList(t *testing.T) {
	got := read(t, printedList).Events[0]
	want := Event{Code: EvAnnounce, Instance: 3, ListKind: 2, Version: 41, Entries: []Entry{
		{Engine: 0x0a124a072bc3, Weight: 1},
		{Engine: 0x0a9011f22bec, Zone: 1, Weight: 1.5, CameUpMs: 6100}}}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v", got)
	}
}

func TestPrintedOutcome(t *testing.T) {
	got := read(t, printedOutcome).Events[0]
	if got.Call != 0x2555f5d3a91c4 || got.How != OutcomeOK || got.Engine != 0x0a124a072bc3 || got.TookMs != 18.5 ||
		!got.Last || got.Report.N != 3 || got.Report.Values[0] != 14.5 || got.Report.Values[2] != 1.25 {
		t.Fatalf("got %+v", got)
	}
}

func TestMalformedFrames(t *testing.T) {
	for name, text := range map[string]string{
		"header cut short":   "40c06e20",
		"body cut short":     "40c06e2000000000 00000044 00000001 78 00000003",
		"length too small":   "40c06e2000000000 00000003 000000",
		"more records":       "40c06e2000000000 00000004 00000001",
		"no instance":        "40c06e2000000000 00000044 00000001 3c +63",
		"unknown event":      "40c06e2000000000 00000084 00000002 78 +63 ff +63",
		"unknown outcome":    "40c06e2000000000 00000084 00000002 78 +63 32 +12 0007 +49",
		"unknown list kind":  "40c06e2000000000 00000084 00000002 78 +63 14 07 +62",
		"offset past tail":   "40c06e2000000000 00000084 00000002 78 +63 0a +8 00000001 00000001 +47",
		"five report values": "40c06e2000000000 00000084 00000002 78 +63 50 +16 05 +46",
	} {
		if _, err := ReadBatch(bytes.NewReader(unhex(t, text))); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := ReadBatch(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v", err)
	}
}

func FuzzReadBatch(f *testing.F) {
	for _, text := range []string{printedBatch, printedList, printedOutcome} {
		f.Add(unhex(f, text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := ReadBatch(bytes.NewReader(data))
		if err != nil && !errors.Is(err, ErrMalformed) && !errors.Is(err, io.EOF) {
			t.Fatalf("unexpected kind of error: %v", err)
		}
	})
}
