package member

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"sumacloft/internal/control/partition"
)

const (
	// firstServiceGroup is the first of the partitions in which the state of services is cut.
	firstServiceGroup partition.Group = 1
	// servicePartitions is how many they are. It must be the same at all members.
	servicePartitions = 2
)

// groupOf is the partition of a service, by the hash of its name.
func groupOf(service string) partition.Group {
	return firstServiceGroup + partition.Group(xxhash.Sum64String(service)%servicePartitions)
}

// intent is an order that the owner of a service's partition is about to send to a worker.
type intent struct {
	Service string `cbor:"1,keyasint"`
	Worker  string `cbor:"2,keyasint"`
	Phase   string `cbor:"3,keyasint"`
	Fence   uint64 `cbor:"4,keyasint"`
}

// maxIntents bounds the intents that are remembered.
const maxIntents = 256

// intentMachine holds the newest intent for each worker of a partition's services; it serves partition.StateMachine.
type intentMachine struct {
	newest []intent // oldest first, one for a worker
}

// Apply serves partition.StateMachine; its result is nil.
func (s *intentMachine) Apply(_ uint64, command []byte) any {
	var next intent
	if err := cbor.Unmarshal(command, &next); err != nil {
		return nil // written by another release: the order is not known here
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

// Snapshot serves partition.StateMachine.
func (s *intentMachine) Snapshot() []byte {
	encoded, err := cbor.Marshal(s.newest)
	if err != nil {
		panic(err) // a list of plain structs can always be encoded
	}
	return encoded
}

// Restore serves partition.StateMachine.
func (s *intentMachine) Restore(snapshot []byte) error {
	s.newest = nil
	if len(snapshot) == 0 {
		return nil
	}
	return Error.Wrap(cbor.Unmarshal(snapshot, &s.newest))
}
