package member

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/control/partition"
)

const (
	// firstServiceGroup is the first of the partitions that hold the state of services.
	firstServiceGroup partition.Group = 1
	// servicePartitions is the number of these partitions. It must be the same at all members.
	servicePartitions = 2
)

// groupOf returns the partition of a service, chosen by the hash of its name.
func groupOf(service string) partition.Group {
	return firstServiceGroup + partition.Group(xxhash.Sum64String(service)%servicePartitions)
}

// intent records an order that the owner of a service's partition is about to send to a worker.
type intent struct {
	Service string `cbor:"1,keyasint"`
	Worker  string `cbor:"2,keyasint"`
	Phase   string `cbor:"3,keyasint"`
	Fence   uint64 `cbor:"4,keyasint"`
}

// maxIntents bounds the number of stored intents.
const maxIntents = 256

// intentMachine holds the newest intent for each worker of a partition's services. It implements partition.StateMachine.
type intentMachine struct {
	newest []intent // oldest first, at most one per worker
}

// Apply implements partition.StateMachine. Its result is nil.
func (s *intentMachine) Apply(_ uint64, command []byte) any {
	var next intent
	if err := cbor.Unmarshal(command, &next); err != nil {
		return nil // written by a release with another format; the intent is ignored
	}
	others := s.newest[:0]
	for _, old := range s.newest {
		if old.Worker != next.Worker {
			others = append(others, old)
		}
	}
	s.newest = append(others, next)
	if surplus := len(s.newest) - maxIntents; surplus > 0 {
		s.newest = append([]intent(nil), s.newest[surplus:]...)
	}
	return nil
}

// Snapshot implements partition.StateMachine.
func (s *intentMachine) Snapshot() []byte {
	encoded, err := cbor.Marshal(s.newest)
	if err != nil {
		panic(err) // encoding plain structs cannot fail
	}
	return encoded
}

// Restore implements partition.StateMachine.
func (s *intentMachine) Restore(snapshot []byte) error {
	s.newest = nil
	if len(snapshot) == 0 {
		return nil
	}
	return Error.Wrap(cbor.Unmarshal(snapshot, &s.newest))
}
