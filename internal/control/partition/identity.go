package partition

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"sumacloft/internal/control/consensus"
	"sumacloft/internal/control/disklog"
)

// FounderID returns the identity of a founder. It is derived from the address, so that all founders agree on it when the
// cluster starts for the first time.
func FounderID(address string) consensus.MemberID {
	return consensus.MemberID(xxhash.Sum64String("founder/"+address) | 1)
}

// assignIdentity determines this member's identity: the one on disk, a founder's at the first start of the cluster, or else a
// new one. A member that lost its disk never reuses its old identity, because the votes and acknowledgements that it gave are
// unknown.
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

// bootstrap returns the partitions' initial records if this member is a founder at the first start of the cluster.
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
