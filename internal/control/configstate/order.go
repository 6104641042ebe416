// Package configstate is the state machine of the replicated configuration.
//
// Replicas apply the same orders of the operator in the order of the log and come to the same state: an order either
// becomes the next configuration or changes nothing. An order that was taken is recognised when it is sent again, however
// many others came between, up to MaxRemembered of them; after that it is answered that nothing is known of it. One that
// was refused before the version that it builds on came is refused for good; while MaxRefused of them are remembered, a
// further one is not refused but answered that nothing is known. So no answer is ever wrong, however many orders come. All
// of it is free of I/O, clock and goroutines; callers see to it that a State is used by one goroutine at a time.
package configstate

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/tidwall/gjson"
	"github.com/zeebo/errs"
)

// Error classes every failure of this package.
var Error = errs.Class("configuration state")

// OrderKind says what the body of an order is.
type OrderKind uint8

// The kinds of orders.
const (
	Replace OrderKind = iota + 1 // a whole configuration
	Change                       // additions, replacements and removals of named items
)

// String returns the name of the kind.
func (k OrderKind) String() string {
	switch k {
	case Replace:
		return "replace"
	case Change:
		return "change"
	}
	return "unknown"
}

// Order is one call of the operator that sets a configuration.
type Order struct {
	_       struct{} `cbor:",toarray"`
	Kind    OrderKind
	BuiltOn uint64 // version that the order builds on, 0 for the first
	Body    []byte // JSON as the operator sent it
}

// packedOrder is an order in the log: documents repeat themselves, so packed ones are a tenth of their size on the disks and
// on the links between replicas.
type packedOrder struct {
	_       struct{} `cbor:",toarray"`
	Kind    OrderKind
	BuiltOn uint64
	Length  int    // of the body
	Packed  []byte // the body, with DEFLATE
}

// Encode returns the order as an entry of the log.
func (o Order) Encode() ([]byte, error) {
	entry, err := cbor.Marshal(packedOrder{Kind: o.Kind, BuiltOn: o.BuiltOn, Length: len(o.Body), Packed: pack(o.Body)})
	if err != nil {
		return nil, Error.New("order cannot be encoded, report this as a defect: %w", err)
	}
	return entry, nil
}

// DecodeOrder reads an order from an entry of the log, also from one of a release that did not pack them.
func DecodeOrder(entry []byte) (Order, error) {
	var plain Order
	if cbor.Unmarshal(entry, &plain) == nil {
		return plain, nil
	}
	var packed packedOrder
	err := cbor.Unmarshal(entry, &packed)
	if err != nil {
		return Order{}, Error.New("log entry holds no order, restore this replica from another one: %w", err)
	}
	body, err := unpack(packed.Packed, packed.Length)
	if err != nil {
		return Order{}, Error.New("the order in a log entry is damaged, restore this replica from another one: %w", err)
	}
	return Order{Kind: packed.Kind, BuiltOn: packed.BuiltOn, Body: body}, nil
}

// version is the version that the order would make, 0 where it can't be read.
func (o Order) version() uint64 { return gjson.GetBytes(o.Body, "version").Uint() }

// digest tells orders apart: two with the same digest are the very same order.
type digest [sha256.Size]byte

// digest returns the SHA-256 sum of the order.
func (o Order) digest() digest {
	var head [9]byte
	head[0] = byte(o.Kind)
	binary.BigEndian.PutUint64(head[1:], o.BuiltOn)
	hash := sha256.New()
	hash.Write(head[:])
	hash.Write(o.Body)
	return digest(hash.Sum(nil))
}
