package hints

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// sizedHint is the largest hint of so many engines.
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
		// Given a hint with as long numbers as there are, when it is encoded
		datagram, err := cbor.Marshal(sizedHint(engines))
		c.Assert(err, qt.IsNil)
		c.Logf("%d engines: %d bytes", engines, len(datagram))
		// then it fits what receivers read.
		c.Check(len(datagram) <= datagramBytes, qt.IsTrue, qt.Commentf("%d engines: %d bytes", engines, len(datagram)))
	}
}

// hintsFromPeers has heard the hints of so many proxies.
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

// BenchmarkTotals adds up what a proxy hears where each tells all others: 8 hints of 80 engines.
func BenchmarkTotals(b *testing.B) {
	now := time.Now()
	h := hintsFromPeers(maxBroadcastPeers, maxEngines, now)
	for b.Loop() {
		h.totals(Waiting{}, now)
	}
}

// BenchmarkReceivedTokens adds up what a keeper was told of an engine by 64 proxies.
func BenchmarkReceivedTokens(b *testing.B) {
	now := time.Now()
	h := hintsFromPeers(64, maxEngines, now)
	for b.Loop() {
		h.receivedTokens(1, "", now)
	}
}
