package partition

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog"
)

// FounderID is the identity of a founder: all of them agree on it when the whole system starts for the first time.
func FounderID(address string) consensus.MemberID {
	return consensus.MemberID(xxhash.Sum64String("founder/"+address) | 1)
}

// assignIdentity settles who this member is: whom its disk says, a founder at the very first start, or else a new member. What
// a lost disk had promised is unknown, so its identity never comes back.
func (h *Host) assignIdentity(state *diskState) error {
	if state.identity.ID != 0 {
		h.config.Self.ID = state.identity.ID
		return nil
	}
	records := h.bootstrap(state)
	if len(records) == 0 {
		h.config.Self.ID = consensus.MemberID(rand.Uint64() | 1)
	}
	state.identity = h.config.Self
	records = append(records, newRecord(identityGroup, kindIdentity, state.identity))
	return h.writer.log.Append(records)
}

// bootstrap makes the partitions' first state, if this member is a founder at the very first start.
func (h *Host) bootstrap(state *diskState) []disklog.Record {
	if !h.config.Bootstrap {
		return nil
	}
	for _, founder := range h.config.Founders {
		if founder.Address == h.config.Self.Address {
			h.config.Self.ID = founder.ID
		}
	}
	if h.config.Self.ID == 0 {
		return nil
	}
	var records []disklog.Record
	for number := range h.config.Machines {
		snapshot := consensus.Bootstrap(consensus.Membership{Voters: h.config.Founders})
		state.group(number).snapshot = snapshot
		records = append(records, newRecord(number, kindSnapshot, snapshot))
	}
	return records
}
