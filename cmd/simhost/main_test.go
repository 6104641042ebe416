package main

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"strings"
	"testing"

	"sumacloft/brain"
	"sumacloft/internal/wire"
)

func TestServe(t *testing.T) {
	header, zeros := "7800000003"+strings.Repeat("00", 59), func(n int) string { return strings.Repeat("00", n) }
	for name, c := range map[string]struct {
		in, out string
		fails   bool
	}{
		"end of input":      {"", "", false},
		"empty batch":       {"40c06e20000000000000000400000000", "0000000400000000", false},
		"truncated frame":   {"40c06e20000000000000000400000000" + "40c06e", "0000000400000000", true},
		"bad settings":      {zeros(8) + "0000008500000002" + header + "0a" + zeros(8) + zeros(4) + "00000001" + zeros(47) + "7b", "", true},
		"unknown instance":  {zeros(8) + "0000008400000002" + header + "3c" + zeros(63), "", true},
		"detached instance": {zeros(8) + "0000008400000002" + header + "64" + zeros(63), "0000000400000000", false},
	} {
		in, err := hex.DecodeString(c.in)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		err = serve(bytes.NewReader(in), &out)
		if (err != nil) != c.fails || hex.EncodeToString(out.Bytes()) != c.out {
			t.Errorf("%s: error %v, output %x", name, err, out.Bytes())
		}
	}
}

// The flags of a request on the wire reach the scheduler.
func TestArrivalFlags(t *testing.T) {
	in := &instance{tokenAimMs: []float64{50}}
	for flags, want := range map[uint16]brain.Arrived{
		0: {}, flagHint: {HintTokens: 20}, flagResumed: {Resumed: true}, flagHint | flagResumed: {HintTokens: 20, Resumed: true},
	} {
		got := in.translate(&wire.Event{Code: wire.EvAccept, EstimateMs: 1000, Flags: flags})
		if !reflect.DeepEqual(got, want) {
			t.Errorf("flags %d: %+v, want %+v", flags, got, want)
		}
	}
}
