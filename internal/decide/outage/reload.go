package outage

import "cmp"

// ForReload is the purpose of a permit requested by tuning, so that its server loads other weights.
const ForReload = "reload"

// Reload is a server that should return with another label.
type Reload struct{ Server, To string }

// compare orders requests: an operator's first, by Seq, then reloads by Rank.
func (p PermitRequest) compare(other PermitRequest) int {
	if (p.For == "") != (other.For == "") {
		if p.For == "" {
			return -1
		}
		return 1
	}
	if p.For != "" {
		return cmp.Compare(p.Rank, other.Rank)
	}
	return cmp.Compare(p.Seq, other.Seq)
}

// RequestReloads makes the requests for reloads match those wanted now, in their order. A member that an operator
// requested or that is out already is not requested again, and reloads no longer wanted are withdrawn. It returns nil if
// nothing changes.
func (s *State) RequestReloads(wanted []Reload, by string) *State {
	next, changed := s.clone(), false
	next.Seq++
	isWanted := map[string]bool{}
	for i, r := range wanted {
		member := ID(Server, r.Server)
		isWanted[member] = true
		request, ok := next.PermitRequests[member]
		if _, out := next.Permits[member]; out || ok && request.For == "" {
			continue
		}
		if ok && request.To == r.To && request.Rank == i {
			continue
		}
		if !ok {
			request = PermitRequest{Seq: next.Seq, By: by, For: ForReload, WaitReason: "not looked at yet"}
		}
		request.To, request.Rank = r.To, i
		next.PermitRequests[member], changed = request, true
	}
	for member, request := range next.PermitRequests {
		if request.For == ForReload && !isWanted[member] {
			delete(next.PermitRequests, member)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	next.By, next.Why = by, "reloads are wished for"
	return next
}
