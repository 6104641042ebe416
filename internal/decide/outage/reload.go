package outage

import "cmp"

// ForReload is what a permit is for that tuning asked for: its server is to load other weights.
const ForReload = "reload"

// Reload is a server that should come back with another label.
type Reload struct{ Server, To string }

// compare orders wishes: an operator's first, as they came, then reloads by their turns.
func (w PermitRequest) compare(o PermitRequest) int {
	if (w.For == "") != (o.For == "") {
		if w.For == "" {
			return -1
		}
		return 1
	}
	if w.For != "" {
		return cmp.Compare(w.Rank, o.Rank)
	}
	return cmp.Compare(w.Seq, o.Seq)
}

// RequestReloads has the wishes for reloads be those that are wanted now, in their order: who is wished out already, or out, is
// not wished again, and who is not wanted any more is withdrawn. nil: they are as wanted.
func (s *State) RequestReloads(wanted []Reload, by string) *State {
	next, news := s.clone(), false
	next.Seq++
	want := map[string]bool{}
	for i, r := range wanted {
		thing := ID(Server, r.Server)
		want[thing] = true
		w, is := next.PermitRequests[thing]
		if _, out := next.Permits[thing]; out || is && w.For == "" {
			continue
		}
		if is && w.To == r.To && w.Rank == i {
			continue
		}
		if !is {
			w = PermitRequest{Seq: next.Seq, By: by, For: ForReload, WaitReason: "not looked at yet"}
		}
		w.To, w.Rank = r.To, i
		next.PermitRequests[thing], news = w, true
	}
	for thing, w := range next.PermitRequests {
		if w.For == ForReload && !want[thing] {
			delete(next.PermitRequests, thing)
			news = true
		}
	}
	if !news {
		return nil
	}
	next.By, next.Why = by, "reloads are wished for"
	return next
}
