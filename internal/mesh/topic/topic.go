// Package topic names the keys of the fleet's replicated map and encodes what stands under them.
package topic

import (
	"bytes"
	"io"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/flate"
	"github.com/zeebo/errs"

	"sumacloft/internal/mesh/replica"
)

// Error is the class of entries that can't be read: routers of another version of the program may be about.
var Error = errs.Class("replicated entry: check that all routers run the same version")

// The keys, or what they begin with.
const (
	Settings = "settings"
	Workers  = "worker/"
	Controls = "control/"
	Routers  = "router/"
	Orders   = "order/"
)

// PhaseOrder says that a worker is about to change its phase: it gets nothing new until its heartbeats show the new one.
type PhaseOrder struct {
	Phase string `cbor:"1,keyasint"`
}

// OrderEntry is the entry of an order that a holder sends at a fence; orders of one holder are numbered.
func OrderEntry(worker string, order PhaseOrder, fence, number uint64) replica.Entry {
	value, err := cbor.Marshal(order)
	if err != nil {
		panic(err) // a struct of strings can always be encoded
	}
	return replica.Entry{Key: Orders + worker, Version: replica.Version{Major: fence, Minor: number}, Value: value}
}

// NoOrderEntry says that no order for a worker is under way any more.
func NoOrderEntry(worker string, fence, number uint64) replica.Entry {
	return replica.Entry{Key: Orders + worker, Version: replica.Version{Major: fence, Minor: number}}
}

// OrderOf is the order that an entry holds; false where it says that there is none.
func OrderOf(entry replica.Entry) (PhaseOrder, bool) {
	var order PhaseOrder
	if len(entry.Value) == 0 || cbor.Unmarshal(entry.Value, &order) != nil {
		return PhaseOrder{}, false
	}
	return order, true
}

// PastOrders are the entries of orders to workers that are not known, or no longer.
func PastOrders(snapshot replica.Snapshot) []replica.Entry {
	return slices.DeleteFunc(snapshot.Prefix(Orders), func(entry replica.Entry) bool {
		_, known := snapshot.Get(Workers + Node(entry.Key))
		return known
	})
}

// Peer is one router of the fleet: a control member or an edge router's agent.
type Peer struct {
	Node     string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"`           // of its inside port
	Steering string `cbor:"3,keyasint,omitempty"` // where workers and the operator reach it; control members only
	Zone     string `cbor:"4,keyasint,omitempty"`
}

// The minor versions of a peer's entry: at one incarnation, news of its end goes before news of its life.
const (
	minorAlive = 0
	minorDown  = 1
)

// PeerEntry is the entry of a peer that lives, at an incarnation.
func PeerEntry(prefix string, peer Peer, incarnation uint64) replica.Entry {
	value, err := cbor.Marshal(peer)
	if err != nil {
		panic(err) // a struct of strings can always be encoded
	}
	return replica.Entry{Key: prefix + peer.Node, Version: replica.Version{Major: incarnation, Minor: minorAlive}, Value: value}
}

// DownEntry says that a peer is down. It is no longer believed once the peer shows a larger incarnation. Its address stays
// known: it may live where nobody hears of it.
func DownEntry(prefix string, peer Peer, incarnation uint64) replica.Entry {
	entry := PeerEntry(prefix, peer, incarnation)
	entry.Version.Minor = minorDown
	return entry
}

// Down tells whether an entry says that its peer is down.
func Down(entry replica.Entry) bool { return entry.Version.Minor == minorDown }

// Peers decodes the living peers among the entries.
func Peers(entries []replica.Entry) []Peer {
	peers := make([]Peer, 0, len(entries))
	for _, entry := range entries {
		if peer, known := PeerOf(entry); known && !Down(entry) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// PeerOf decodes the peer that an entry is about, one that is down included; false where its address is not known.
func PeerOf(entry replica.Entry) (Peer, bool) {
	var peer Peer
	if cbor.Unmarshal(entry.Value, &peer) != nil {
		return Peer{}, false
	}
	return peer, peer.Address != ""
}

// Node is the name of the peer that an entry is about.
func Node(key string) string {
	_, node, _ := strings.Cut(key, "/")
	return node
}

// SettingsEntry is the entry of a configuration that was taken at an index of its partition's log.
func SettingsEntry(index uint64, document []byte) (replica.Entry, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return replica.Entry{}, Error.Wrap(err)
	}
	if _, err := writer.Write(document); err != nil {
		return replica.Entry{}, Error.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return replica.Entry{}, Error.Wrap(err)
	}
	return replica.Entry{Key: Settings, Version: replica.Version{Major: index}, Value: packed.Bytes()}, nil
}

// Document is the configuration's document that an entry holds.
func Document(entry replica.Entry) ([]byte, error) {
	document, err := io.ReadAll(flate.NewReader(bytes.NewReader(entry.Value)))
	return document, Error.Wrap(err)
}
