package hints

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// sizedHint returns a hint of maximum size for a number of engines.
func sizedHint(engines int) hint {
	message := hint{From: "255.255.255.255", Sequence: 1 << 40, Tokens: map[uint64]uint32{}}
	for number := range engines {
		message.Tokens[^uint64(number)] = 1<<32 - 1
	}
	return message
}

func TestHintsFitADatagram(t *testing.T) {
	c := qt.New(t)
	for _, engines := range []int{1, 10, maxEngines} {
		// Given a hint with the longest possible numbers, when it is encoded,
		datagram, err := cbor.Marshal(sizedHint(engines))
		c.Assert(err, qt.IsNil)
		c.Logf("%d engines: %d bytes", engines, len(datagram))
		// then it fits a receiver's buffer.
		c.Check(len(datagram) <= datagramBytes, qt.IsTrue, qt.Commentf("%d engines: %d bytes", engines, len(datagram)))
	}
}

// hintsFromPeers returns Hints that hold a hint of each of a number of proxies.
func hintsFromPeers(proxies, engines int, now time.Time) *Hints {
	h := newHints("10.0.0.1", nil)
	for number := range proxies {
		message := sizedHint(engines)
		message.From = "10.0.1." + strconv.Itoa(number)
		h.peers = append(h.peers, message.From)
		h.store(message, now)
	}
	return h
}

func BenchmarkDecodeHint(b *testing.B) {
	datagram, err := cbor.Marshal(sizedHint(maxEngines))
	qt.Assert(b, err, qt.IsNil)
	for b.Loop() {
		var message hint
		if err := cbor.Unmarshal(datagram, &message); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTotals sums the received hints in broadcast mode: 8 hints of 80 engines.
func BenchmarkTotals(b *testing.B) {
	now := time.Now()
	h := hintsFromPeers(maxBroadcastPeers, maxEngines, now)
	for b.Loop() {
		h.totals(Waiting{}, now)
	}
}

// BenchmarkReceivedTokens sums the hints for one engine at an aggregator that received hints of 64 proxies.
func BenchmarkReceivedTokens(b *testing.B) {
	now := time.Now()
	h := hintsFromPeers(64, maxEngines, now)
	for b.Loop() {
		h.receivedTokens(1, "", now)
	}
}
