package registry

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/mesh/replica"
)

// KeyPrefix is the key prefix of all workers' entries in the replicated map. The worker's id follows it.
const KeyPrefix = "worker/"

// Key returns the key of a worker's entry.
func Key(id string) string {
	return KeyPrefix + id
}

// value is the CBOR encoding of a worker in an entry. The id is in the key.
type value struct {
	Service    string       `cbor:"1,keyasint,omitempty"`
	Address    string       `cbor:"2,keyasint,omitempty"`
	Zone       string       `cbor:"3,keyasint,omitempty"`
	Version    string       `cbor:"4,keyasint,omitempty"`
	Capacity   int          `cbor:"5,keyasint,omitempty"`
	State      State        `cbor:"6,keyasint"`
	ColdLeftMs int64        `cbor:"7,keyasint,omitempty"`
	Phase      string       `cbor:"8,keyasint,omitempty"`
	Models     []modelValue `cbor:"9,keyasint,omitempty"`
	CallCount  uint64       `cbor:"10,keyasint"`
	Home       string       `cbor:"11,keyasint,omitempty"`
}

type modelValue struct {
	Name    string   `cbor:"1,keyasint"`
	Version int      `cbor:"2,keyasint,omitempty"`
	AddOns  []string `cbor:"3,keyasint,omitempty"`
}

// encoder is deterministic: equal states must have equal bytes at all members.
var encoder = newEncoder()

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // cannot happen: the options are the library's own preset
	}
	return mode
}

// EntryOf returns the entry that replicates a worker's state.
func EntryOf(worker Worker) replica.Entry {
	return replica.Entry{Key: Key(worker.ID), Version: worker.version(), Value: encode(worker)}
}

func encode(worker Worker) []byte {
	body, err := encoder.Marshal(valueOf(worker))
	if err != nil {
		panic(err) // cannot happen: every field of the type can be encoded
	}
	return body
}

func valueOf(worker Worker) value {
	models := make([]modelValue, 0, len(worker.Models))
	for _, model := range worker.Models {
		models = append(models, modelValue(model))
	}
	return value{
		Service:    worker.Service,
		Address:    worker.Address,
		Zone:       worker.Zone,
		Version:    worker.Version,
		Capacity:   worker.Capacity,
		State:      worker.State,
		ColdLeftMs: worker.ColdLeft.Milliseconds(),
		Phase:      worker.Phase,
		Models:     models,
		CallCount:  worker.CallCount,
		Home:       worker.Home,
	}
}

func (v value) worker(id string) Worker {
	var models []Model
	for _, model := range v.Models {
		models = append(models, Model(model))
	}
	return Worker{
		ID:        id,
		Service:   v.Service,
		Address:   v.Address,
		Zone:      v.Zone,
		Version:   v.Version,
		Capacity:  v.Capacity,
		State:     v.State,
		ColdLeft:  time.Duration(v.ColdLeftMs) * time.Millisecond,
		Phase:     v.Phase,
		Models:    models,
		CallCount: v.CallCount,
		Home:      v.Home,
	}
}

// EntryFault reports an entry that does not decode to a worker.
type EntryFault struct {
	Key   string
	Cause error // nil if the key is invalid, the state is unknown, or the value does not match the version
}

// Error implements the error interface.
func (f *EntryFault) Error() string {
	const advice = "check that all control members run the same release"
	if f.Cause == nil {
		return fmt.Sprintf("entry %q has an invalid key, state or version: %s", f.Key, advice)
	}
	return fmt.Sprintf("entry %q cannot be decoded: %s (%v)", f.Key, advice, f.Cause)
}

// Unwrap returns the cause for errors.Is and errors.As.
func (f *EntryFault) Unwrap() error {
	return f.Cause
}

// WorkerOf decodes a worker from an entry. Errors are of type EntryFault.
func WorkerOf(entry replica.Entry) (Worker, error) {
	id, isWorker := strings.CutPrefix(entry.Key, KeyPrefix)
	if !isWorker || id == "" {
		return Worker{}, Error.Wrap(&EntryFault{Key: entry.Key})
	}
	var decoded value
	if err := cbor.Unmarshal(entry.Value, &decoded); err != nil {
		return Worker{}, Error.Wrap(&EntryFault{Key: entry.Key, Cause: err})
	}
	worker := decoded.worker(id)
	_, known := stateNames[worker.State]
	if !known || worker.version() != entry.Version {
		return Worker{}, Error.Wrap(&EntryFault{Key: entry.Key})
	}
	return worker, nil
}

// Tombstones returns the entries of workers that are gone or lapsed. It reads only the entries' versions.
func Tombstones(entries []replica.Entry) []replica.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(entry replica.Entry) bool {
		gone := entry.Version.Major == Gone.finality()
		lapsed := entry.Version.Major == Lapsed.finality() && entry.Version.Minor%2 == lapsedMinor
		return !gone && !lapsed
	})
}

// equalIgnoringCounters reports whether two states of a worker need no replication between them. It ignores the call
// count and the remaining cold time, which change with every heartbeat.
func equalIgnoringCounters(a, b Worker) bool {
	a.CallCount, b.CallCount = 0, 0
	a.ColdLeft, b.ColdLeft = 0, 0
	return bytes.Equal(encode(a), encode(b))
}
