// Package message defines the messages and call paths that the system's own processes use among themselves.
package message

import (
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/rpc"
)

// Beat is a router's heartbeat to one of its watchers, with a checksum of the sender's digest.
type Beat struct {
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Sum         uint64 `cbor:"3,keyasint,omitempty"` // replica.Digest.Sum
	Brief       bool   `cbor:"4,keyasint,omitempty"` // omit the digest from the response
}

// BeatAnswer holds the authority of the watcher's copy, and its digest if the checksums differ.
type BeatAnswer struct {
	Digest    *replica.Digest `cbor:"1,keyasint,omitempty"`
	Authority Authority       `cbor:"2,keyasint,omitempty"`
}

// Authority ranks the source of a router's copy of the fleet's state.
type Authority uint8

// The levels of authority, in ascending order.
const (
	Gossiped     Authority = iota // gossip from other routers: an edge router, or a control member that is not a voter
	Durable                       // state on a voter's own disk; the voter knows no leader
	LeaderBacked                  // state of a voter in contact with its leader, which has the support of a majority
)

// Sync carries entries. If it has a digest, the response holds the entries that the sender may lack: all in the buckets that
// differ, except those whose fingerprints are in Held.
type Sync struct {
	From     string               `cbor:"1,keyasint"`
	Entries  []replica.Entry      `cbor:"2,keyasint,omitempty"`
	Digest   *replica.Digest      `cbor:"3,keyasint,omitempty"`
	Held     replica.Fingerprints `cbor:"4,keyasint,omitempty"`
	Repaired bool                 `cbor:"5,keyasint,omitempty"` // the entries were requested after a comparison of copies
	Durable  bool                 `cbor:"6,keyasint,omitempty"` // respond once the entries are on disk
}

// SyncAnswer holds the entries that the caller lacks and the fingerprints of those that it should send.
type SyncAnswer struct {
	Entries []replica.Entry      `cbor:"1,keyasint,omitempty"`
	Wanted  replica.Fingerprints `cbor:"2,keyasint,omitempty"` // entries that the caller has and the receiver lacks
	Durable bool                 `cbor:"3,keyasint,omitempty"` // the received entries are on the receiver's disk
}

// LargeBytes implements rpc.Large.
func (a *SyncAnswer) LargeBytes() int { return valueBytes(a.Entries) }

// The calls that every router serves on its first internal port.
const (
	CallBeat rpc.Procedure[Beat, BeatAnswer] = "/mesh/Beat"
	CallSync rpc.Procedure[Sync, SyncAnswer] = "/mesh/Sync"
)

// Order carries an operator's order to the owner of the configuration's partition.
type Order struct {
	Order []byte `cbor:"1,keyasint"` // configstate.Order, encoded
}

// OrderAnswer is the outcome of an order.
type OrderAnswer struct {
	Status  uint8  `cbor:"1,keyasint"` // configstate.OutcomeStatus
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Text    string `cbor:"3,keyasint,omitempty"` // why the order was rejected
}

// Read asks the owner of the configuration's partition for the newest document.
type Read struct {
	Known uint64 `cbor:"1,keyasint,omitempty"` // index of the caller's document, which is not sent again
}

// ReadAnswer holds the document. It is empty if there is none yet or the caller already has it.
type ReadAnswer struct {
	Document []byte `cbor:"1,keyasint,omitempty"`
	Index    uint64 `cbor:"2,keyasint,omitempty"` // of the document in its partition's log; 0 if there is none yet
}

// LargeBytes implements rpc.Large.
func (a *ReadAnswer) LargeBytes() int { return len(a.Document) }

// The calls between control members.
const (
	CallOrder rpc.Procedure[Order, OrderAnswer] = "/control/Order"
	CallRead  rpc.Procedure[Read, ReadAnswer]   = "/control/Read"
)

// CallConfirm asks any control member for the newest document that the leader knows while it holds its lease.
const CallConfirm rpc.Procedure[Read, ReadAnswer] = "/control/Confirm"

// Watch is a long poll: the agent answers once the state of the fleet differs from what the proxy knows.
type Watch struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"` // of the snapshot that the proxy has
	Settings uint64 `cbor:"2,keyasint,omitempty"` // index of the configuration that the proxy has
	AgentRun uint64 `cbor:"3,keyasint,omitempty"` // identifies the run of the agent that sent them
}

// Snapshot is the state of the fleet as an agent knows it.
type Snapshot struct {
	Revision  uint64          `cbor:"1,keyasint,omitempty"`
	AgentRun  uint64          `cbor:"2,keyasint,omitempty"`
	Settings  uint64          `cbor:"3,keyasint,omitempty"` // index of the newest configuration; 0 if none is known
	Document  []byte          `cbor:"4,keyasint,omitempty"` // that configuration; empty if the proxy has it
	Workers   []replica.Entry `cbor:"5,keyasint,omitempty"`
	Routers   []string        `cbor:"6,keyasint,omitempty"`  // IP addresses of the edge routers that are alive, this one included
	Unchanged bool            `cbor:"7,keyasint,omitempty"`  // nothing has changed
	Orders    []replica.Entry `cbor:"8,keyasint,omitempty"`  // pending phase changes of workers
	Link      Link            `cbor:"9,keyasint,omitempty"`  // the agent's link to the control plane; sent also if nothing else has changed
	SameZone  []string        `cbor:"10,keyasint,omitempty"` // those of Routers in the same zone
	// Delta marks a delta to the revision that the proxy knows. Workers then holds the changed entries and Removed the keys
	// of those removed. Routers and SameZone are omitted if unchanged.
	Delta            bool     `cbor:"11,keyasint,omitempty"`
	Removed          []string `cbor:"12,keyasint,omitempty"`
	RoutersUnchanged bool     `cbor:"13,keyasint,omitempty"`
}

// LargeBytes implements rpc.Large.
func (s *Snapshot) LargeBytes() int { return len(s.Document) + valueBytes(s.Workers) }

// valueBytes returns the size of the values of entries.
func valueBytes(entries []replica.Entry) (size int) {
	for _, entry := range entries {
		size += len(entry.Value)
	}
	return size
}

// CallWatch is served by agents on the loopback interface.
const CallWatch rpc.Procedure[Watch, Snapshot] = "/agent/Watch"
