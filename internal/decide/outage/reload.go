package outage

import "cmp"

// ForReload is what a permit is for that tuning asked for: its server is to load other weights.
const ForReload = "reload"

// Reload is a server that should come back with another label.
type Reload struct{ Server, To string }

// compare orders wishes: an operator's first, as they came, then reloads by their turns.
func (p PermitRequest) compare(o PermitRequest) int {
	if (p.For == "") != (o.For == "") {
		if p.For == "" {
			return -1
		}
		return 1
	}
	if p.For != "" {
		return cmp.Compare(p.Rank, o.Rank)
	}
	return cmp.Compare(p.Seq, o.Seq)
}

// RequestReloads has the wishes for reloads be those that are wanted now, in their order: who is wished out already, or out, is
// not wished again, and who is not wanted any more is withdrawn. nil: they are as wanted.
func (s *State) RequestReloads(wanted []Reload, by string) *State {
	next, changed := s.clone(), false
	next.Seq++
	want := map[string]bool{}
	for i, r := range wanted {
		member := ID(Server, r.Server)
		want[member] = true
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
		if request.For == ForReload && !want[member] {
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
