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

// KeyPrefix begins the keys of all workers' entries in the replicated map; the worker's id follows.
const KeyPrefix = "worker/"

// Key is the key of a worker's entry.
func Key(id string) string {
	return KeyPrefix + id
}

// value is the cbor form of a worker in an entry. The id is in the key.
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

// encoder is deterministic: members that say the same have to say it in the same bytes.
var encoder = newEncoder()

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants of the library
	}
	return mode
}

// EntryOf is the entry under which a worker's state is replicated.
func EntryOf(worker Worker) replica.Entry {
	return replica.Entry{Key: Key(worker.ID), Version: worker.version(), Value: encode(worker)}
}

func encode(worker Worker) []byte {
	body, err := encoder.Marshal(valueOf(worker))
	if err != nil {
		panic(err) // the type has no part that could fail
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

// EntryFault reports an entry that cannot be read as a worker's.
type EntryFault struct {
	Key   string
	Cause error // nil if the value contradicts the entry's version or holds an unknown state
}

// Error implements error.
func (f *EntryFault) Error() string {
	const advice = "check that all control members run the same release"
	if f.Cause == nil {
		return fmt.Sprintf("entry %q contradicts itself: %s", f.Key, advice)
	}
	return fmt.Sprintf("entry %q cannot be read: %s (%v)", f.Key, advice, f.Cause)
}

// Unwrap implements the convention of package errors.
func (f *EntryFault) Unwrap() error {
	return f.Cause
}

// WorkerOf reads a worker from an entry. It fails with an EntryFault.
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

// Tombstones are those of workers' entries that say that the worker is gone or lapsed. An entry's version tells.
func Tombstones(entries []replica.Entry) []replica.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(entry replica.Entry) bool {
		gone := entry.Version.Major == Gone.finality()
		lapsed := entry.Version.Major == Lapsed.finality() && entry.Version.Minor%2 == lapsedMinor
		return !gone && !lapsed
	})
}

// equalIgnoringCounters tells whether two states of a worker are the same to other members. The call count and the time that
// a worker stays cold change with every heartbeat and are no news.
func equalIgnoringCounters(a, b Worker) bool {
	a.CallCount, b.CallCount = 0, 0
	a.ColdLeft, b.ColdLeft = 0, 0
	return bytes.Equal(encode(a), encode(b))
}
