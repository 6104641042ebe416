// Package message holds what the system's own processes say to each other, and the names of the calls.
package message

import (
	"sumacloft/internal/mesh/replica"
	"sumacloft/internal/mesh/rpc"
)

// Beat is a router's heartbeat to one of its watchers, with the sum of its digest.
type Beat struct {
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Sum         uint64 `cbor:"3,keyasint,omitempty"` // replica.Digest.Sum
	Brief       bool   `cbor:"4,keyasint,omitempty"` // the digest is not asked for
}

// BeatAnswer holds the watcher's digest where the sums differ, and what stands behind its copy.
type BeatAnswer struct {
	Digest   *replica.Digest `cbor:"1,keyasint,omitempty"`
	Standing Standing        `cbor:"2,keyasint,omitempty"`
}

// Standing is what stands behind a router's copy of the fleet's state.
type Standing uint8

// The standings.
const (
	Hearsay Standing = iota // what others said: an edge router, or a control member that is no voter
	Durable                 // what a voter's own disk holds; the voter knows no leader
	Led                     // a voter that hears of its leader, which a majority answers
)

// Sync brings entries. With a digest, the answer holds what its sender may lack: all in the buckets that differ, but those
// that it names as held.
type Sync struct {
	From     string               `cbor:"1,keyasint"`
	Entries  []replica.Entry      `cbor:"2,keyasint,omitempty"`
	Digest   *replica.Digest      `cbor:"3,keyasint,omitempty"`
	Held     replica.Fingerprints `cbor:"4,keyasint,omitempty"`
	Repaired bool                 `cbor:"5,keyasint,omitempty"` // the entries were asked for after copies were compared
}

// SyncAnswer brings entries in return.
type SyncAnswer struct {
	Entries []replica.Entry      `cbor:"1,keyasint,omitempty"`
	Wanted  replica.Fingerprints `cbor:"2,keyasint,omitempty"` // held by the caller and not here
}

// The calls that every router serves on its inside port.
const (
	CallBeat rpc.Procedure[Beat, BeatAnswer] = "/mesh/Beat"
	CallSync rpc.Procedure[Sync, SyncAnswer] = "/mesh/Sync"
)

// Order is an operator's order on its way to the owner of the configuration's partition.
type Order struct {
	Order []byte `cbor:"1,keyasint"` // configstate.Order, encoded
}

// OrderAnswer is what became of it.
type OrderAnswer struct {
	Status  uint8  `cbor:"1,keyasint"` // configstate.OutcomeStatus
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Text    string `cbor:"3,keyasint,omitempty"` // what is wrong with it
}

// Read asks the owner of the configuration's partition for the newest document.
type Read struct {
	Known uint64 `cbor:"1,keyasint,omitempty"` // index of the document that the caller has; it is not sent again
}

// ReadAnswer holds the document; empty: there is none yet, or the caller has it.
type ReadAnswer struct {
	Document []byte `cbor:"1,keyasint,omitempty"`
	Index    uint64 `cbor:"2,keyasint,omitempty"` // of the document in its partition's log; 0: there is none yet
}

// The calls between control members.
const (
	CallOrder rpc.Procedure[Order, OrderAnswer] = "/control/Order"
	CallRead  rpc.Procedure[Read, ReadAnswer]   = "/control/Read"
)

// CallConfirm asks any control member for the newest document, as the leader knows it under its lease at that moment.
const CallConfirm rpc.Procedure[Read, ReadAnswer] = "/control/Confirm"

// Watch asks an agent for the state of the fleet once it differs from what the proxy knows.
type Watch struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"` // of the snapshot known
	Settings uint64 `cbor:"2,keyasint,omitempty"` // index of the configuration known
	Life     uint64 `cbor:"3,keyasint,omitempty"` // of the agent that gave them
}

// Snapshot is the state of the fleet as an agent knows it.
type Snapshot struct {
	Revision uint64          `cbor:"1,keyasint,omitempty"`
	Life     uint64          `cbor:"2,keyasint,omitempty"`
	Settings uint64          `cbor:"3,keyasint,omitempty"` // index of the newest configuration; 0: none is known
	Document []byte          `cbor:"4,keyasint,omitempty"` // of that configuration; empty if the proxy knows it
	Workers  []replica.Entry `cbor:"5,keyasint,omitempty"`
	Routers  []string        `cbor:"6,keyasint,omitempty"`  // IP addresses of the edge routers that are alive, this one included
	Same     bool            `cbor:"7,keyasint,omitempty"`  // nothing has changed
	Orders   []replica.Entry `cbor:"8,keyasint,omitempty"`  // workers that are about to change their phase
	Link     Link            `cbor:"9,keyasint,omitempty"`  // of the agent to the control plane, also where nothing else has changed
	Near     []string        `cbor:"10,keyasint,omitempty"` // those of Routers that are in the own zone
	// Part says that the proxy knows the rest: Workers are those that have changed since the revision that it knows, Gone the
	// keys of those that are there no longer, and Routers and Near are left out where they are the same.
	Part        bool     `cbor:"11,keyasint,omitempty"`
	Gone        []string `cbor:"12,keyasint,omitempty"`
	SameRouters bool     `cbor:"13,keyasint,omitempty"`
}

// CallWatch is served by agents on the loopback address.
const CallWatch rpc.Procedure[Watch, Snapshot] = "/agent/Watch"
