package hints

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against datagrams that claim to come from proxies without end: with many peers nothing removed their hints.
func TestHintsOfManySendersAreLimited(t *testing.T) {
	c := qt.New(t)
	// Given a proxy with more peers than it broadcasts to.
	h := newHints("10.0.0.1", &fakeLoad{})
	for number := range 2 * maxBroadcastPeers {
		h.peers = append(h.peers, fmt.Sprintf("10.0.1.%d", number))
	}
	now := time.Now()
	// When hints of very many senders arrive at once, and larger ones than proxies send.
	for number := range 10_000 {
		h.store(hint{From: fmt.Sprintf("10.1.%d.%d", number>>8, number&255), Sequence: 1, Tokens: map[uint64]uint32{1: 1}}, now)
	}
	tokens := map[uint64]uint32{}
	for engine := range uint64(maxEngines + 1) {
		tokens[engine] = 1
	}
	h.store(hint{From: h.peers[0], Sequence: 1, Tokens: tokens}, now)
	// Then a limited number is kept.
	c.Assert(len(h.received), qt.Equals, minSenders)
	// When those have expired, then a peer's hint is kept again.
	h.store(hint{From: h.peers[0], Sequence: 1, Tokens: map[uint64]uint32{1: 5}}, now.Add(2*hintTTL))
	c.Assert(h.received[h.peers[0]].tokens, qt.DeepEquals, map[uint64]uint32{1: 5})
	c.Assert(len(h.received), qt.Equals, 1)
}
