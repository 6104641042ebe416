// Package topic defines the keys of the fleet's replicated map and encodes and decodes the entries stored under them.
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

// Error is the class of entries that can't be decoded: other routers may run another version of the program.
var Error = errs.Class("replicated entry: check that all routers run the same version")

// The keys and key prefixes.
const (
	Settings = "settings"
	Workers  = "worker/"
	Controls = "control/"
	Routers  = "router/"
	Orders   = "order/"
)

// PhaseOrder announces that a worker will change its phase. It is assigned no new work until its heartbeats show the new one.
type PhaseOrder struct {
	Phase string `cbor:"1,keyasint"`
}

// OrderEntry is the entry of an order issued at a fence. Orders of the same issuer are numbered.
func OrderEntry(worker string, order PhaseOrder, fence, number uint64) replica.Entry {
	value, err := cbor.Marshal(order)
	if err != nil {
		panic(err) // a struct of strings can always be encoded
	}
	return replica.Entry{Key: Orders + worker, Version: replica.Version{Major: fence, Minor: number}, Value: value}
}

// OrderTombstone is the tombstone of an order: the worker has no pending order.
func OrderTombstone(worker string, fence, number uint64) replica.Entry {
	return replica.Entry{Key: Orders + worker, Version: replica.Version{Major: fence, Minor: number}}
}

// OrderOf decodes the order that an entry holds; false if the entry is a tombstone or can't be decoded.
func OrderOf(entry replica.Entry) (PhaseOrder, bool) {
	var order PhaseOrder
	if len(entry.Value) == 0 || cbor.Unmarshal(entry.Value, &order) != nil {
		return PhaseOrder{}, false
	}
	return order, true
}

// OrphanedOrders lists the entries of orders to workers that are not in the snapshot.
func OrphanedOrders(snapshot replica.Snapshot) []replica.Entry {
	return slices.DeleteFunc(snapshot.Prefix(Orders), func(entry replica.Entry) bool {
		_, known := snapshot.Get(Workers + Node(entry.Key))
		return known
	})
}

// Peer is one router of the fleet: a control member or the agent of an edge router.
type Peer struct {
	Node     string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"`           // of its first internal port
	Steering string `cbor:"3,keyasint,omitempty"` // address for workers and operators; control members only
	Zone     string `cbor:"4,keyasint,omitempty"`
}

// The minor versions of a peer's entry. At the same incarnation, the entry that it is down supersedes the one that it is alive.
const (
	minorAlive = 0
	minorDown  = 1
)

// PeerEntry is the entry of a live peer at an incarnation.
func PeerEntry(prefix string, peer Peer, incarnation uint64) replica.Entry {
	value, err := cbor.Marshal(peer)
	if err != nil {
		panic(err) // a struct of strings can always be encoded
	}
	return replica.Entry{Key: prefix + peer.Node, Version: replica.Version{Major: incarnation, Minor: minorAlive}, Value: value}
}

// DownEntry records that a peer is down. An entry with a larger incarnation supersedes it. It keeps the address, because the
// peer may be alive but unreachable for the routers that reported it.
func DownEntry(prefix string, peer Peer, incarnation uint64) replica.Entry {
	entry := PeerEntry(prefix, peer, incarnation)
	entry.Version.Minor = minorDown
	return entry
}

// Down reports whether an entry records that its peer is down.
func Down(entry replica.Entry) bool { return entry.Version.Minor == minorDown }

// Peers decodes the live peers among the entries.
func Peers(entries []replica.Entry) []Peer {
	peers := make([]Peer, 0, len(entries))
	for _, entry := range entries {
		if peer, known := PeerOf(entry); known && !Down(entry) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// PeerOf decodes the peer of an entry, including one that is down; false if its address is not known.
func PeerOf(entry replica.Entry) (Peer, bool) {
	var peer Peer
	if cbor.Unmarshal(entry.Value, &peer) != nil {
		return Peer{}, false
	}
	return peer, peer.Address != ""
}

// Node returns the name of the peer or worker in a key.
func Node(key string) string {
	_, node, _ := strings.Cut(key, "/")
	return node
}

// SettingsEntry is the entry of a configuration that was committed at an index of its partition's log.
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

// maxDocumentBytes bounds a configuration. An order may have 8 MiB, and changes add to what is there.
const maxDocumentBytes = 64 << 20

// Document decompresses the configuration document that an entry holds.
func Document(entry replica.Entry) ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(entry.Value)), maxDocumentBytes+1))
	if err == nil && len(document) > maxDocumentBytes {
		return nil, Error.New("a configuration of more than %d bytes: check which process sent it", maxDocumentBytes)
	}
	return document, Error.Wrap(err)
}
