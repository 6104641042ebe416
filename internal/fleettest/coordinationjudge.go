package fleettest

import (
	"strings"

	"sumacloft/internal/control/coordination"
)

// judge says which promises were broken, a line for each case; empty: none.
func (n *coordinationNotes) judge() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.judgeHolds()
	n.judgePuts()
	n.judgeReads()
	for _, span := range n.spans {
		n.judgeSpan(span)
	}
	return strings.Join(n.faults, "\n")
}

// judgeHolds looks for two callers that count themselves holders at the same moment.
func (n *coordinationNotes) judgeHolds() {
	for lock, holds := range n.holds {
		for i, one := range holds {
			for _, other := range holds[i+1:] {
				if one.got >= one.until || other.got >= other.until {
					continue // the answer came after the caller's time: it does not count itself the holder
				}
				if one.owner != other.owner && one.got < other.until && other.got < one.until {
					n.fault("lock %s: %s holds it from %v to %v and %s from %v to %v", lock, one.owner, one.got, one.until,
						other.owner, other.got, other.until)
				}
			}
		}
	}
}

// judgePuts looks at the revisions of a group: each is of one put, they rise with time, and a put with an expected revision
// follows it directly.
func (n *coordinationNotes) judgePuts() {
	for i, one := range n.puts {
		if one.refused && one.revision != 0 {
			n.fault("put %s=%s was refused and got revision %d", one.key, one.amount, one.revision)
		}
		for _, other := range n.puts[i+1:] {
			if one.revision == 0 || other.revision == 0 || coordination.CellGroup(one.key) != coordination.CellGroup(other.key) {
				continue
			}
			if one.revision == other.revision || one.got <= other.sent && one.revision > other.revision ||
				other.got <= one.sent && other.revision > one.revision {
				n.fault("puts %s=%s with revision %d and %s=%s with %d", one.key, one.amount, one.revision, other.key, other.amount, other.revision)
			}
			if one.key == other.key && (one.expected < other.revision && other.revision < one.revision ||
				other.expected < one.revision && one.revision < other.revision) {
				n.fault("puts %s with revisions %d and %d passed over each other", one.key, one.revision, other.revision)
			}
		}
	}
}

// judgeReads looks for reads that show too little, or what was never put.
func (n *coordinationNotes) judgeReads() {
	for _, read := range n.reads {
		for _, put := range n.puts {
			if put.key == read.key && put.revision != 0 && put.got <= read.sent && put.revision > read.revision {
				n.fault("read of %s gave revision %d after %d was acknowledged", read.key, read.revision, put.revision)
			}
		}
		if read.revision != 0 {
			n.judgeShown(coordination.Event{Key: read.key, Amount: read.amount, Revision: read.revision})
		}
	}
}

// judgeShown looks at a value that was shown.
func (n *coordinationNotes) judgeShown(event coordination.Event) {
	for _, put := range n.puts {
		if put.key != event.Key || put.amount != event.Amount {
			continue
		}
		put.events[event.Revision] = true
		if put.refused || put.revision != 0 && put.revision != event.Revision || len(put.events) > 1 {
			n.fault("%s=%s is shown with revision %d: %+v", event.Key, event.Amount, event.Revision, *put)
		}
		return
	}
	n.fault("%s=%s is shown, which nobody put", event.Key, event.Amount)
}

// judgeSpan looks at what a watch told: all events of its span in rising order.
func (n *coordinationNotes) judgeSpan(span spanNote) {
	told := map[uint64]bool{}
	last := span.after
	for _, event := range span.events {
		if event.Revision <= last || event.Revision > span.upTo {
			n.fault("watch of %s after %d to %d tells of %d", span.group, span.after, span.upTo, event.Revision)
		}
		last = event.Revision
		told[event.Revision] = true
		n.judgeShown(event)
	}
	for _, put := range n.puts {
		inside := put.revision > span.after && put.revision <= span.upTo && span.after != 0
		if inside && coordination.CellGroup(put.key) == span.group && !told[put.revision] {
			n.fault("watch of %s after %d to %d leaves out %d", span.group, span.after, span.upTo, put.revision)
		}
	}
}
