package consensus

import "slices"

// entryOverheadBytes is what an entry takes in a message beside its data, at most.
const entryOverheadBytes = 32

// replicatedLog holds the entries after a base, which is the last entry that
// was dropped. Entries handed out are never overwritten in place.
type replicatedLog struct {
	baseIndex Index
	baseTerm  Term
	entries   []Entry
}

// lastIndex returns the index of the last entry, or of the base.
func (log *replicatedLog) lastIndex() Index {
	return log.baseIndex + Index(len(log.entries))
}

// lastTerm returns the term of the last entry, or of the base.
func (log *replicatedLog) lastTerm() Term {
	term, _ := log.term(log.lastIndex())
	return term
}

// term returns the term of the entry at an index, and whether it is known.
func (log *replicatedLog) term(index Index) (Term, bool) {
	if index == log.baseIndex {
		return log.baseTerm, true
	}
	if index < log.baseIndex || index > log.lastIndex() {
		return 0, false
	}
	return log.entries[index-log.baseIndex-1].Term, true
}

// matches reports whether the log holds the entry with that index and term.
func (log *replicatedLog) matches(index Index, term Term) bool {
	found, known := log.term(index)
	return known && found == term
}

// upToDate reports whether a log with that last entry is at least as up to date
// as this one.
func (log *replicatedLog) upToDate(lastIndex Index, lastTerm Term) bool {
	if lastTerm != log.lastTerm() {
		return lastTerm > log.lastTerm()
	}
	return lastIndex >= log.lastIndex()
}

// between returns the entries after one index up to and including another.
func (log *replicatedLog) between(after, last Index) []Entry {
	first := max(after, log.baseIndex)
	if last <= first {
		return nil
	}
	from, to := first-log.baseIndex, last-log.baseIndex
	return log.entries[from:to:to]
}

// batch returns the entries from an index on that fit in a number of bytes, but
// at least one if there is any.
func (log *replicatedLog) batch(from Index, maxBytes int) []Entry {
	rest := log.between(from-1, log.lastIndex())
	size := 0
	for position, entry := range rest {
		size += len(entry.Data) + entryOverheadBytes
		if size > maxBytes && position > 0 {
			return rest[:position:position]
		}
	}
	return rest
}

// append replaces the entries at and after the index of the first given one.
func (log *replicatedLog) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	if keep := entries[0].Index - log.baseIndex - 1; int(keep) < len(log.entries) {
		log.entries = slices.Clip(log.entries[:keep])
	}
	log.entries = append(log.entries, entries...)
}

// unknown returns those of the entries that the log does not hold yet.
func (log *replicatedLog) unknown(entries []Entry) []Entry {
	for position, entry := range entries {
		if entry.Index > log.baseIndex && !log.matches(entry.Index, entry.Term) {
			return entries[position:]
		}
	}
	return nil
}

// lastNotAfter returns the last entry at or before an index whose term is not
// after a given one. Where the log is no longer known it returns that place.
func (log *replicatedLog) lastNotAfter(index Index, term Term) (Index, Term) {
	for index = min(index, log.lastIndex()); ; index-- {
		found, known := log.term(index)
		if !known || found <= term {
			return index, found
		}
	}
}

// marginBefore returns the index up to which entries are dropped such that so many
// of those up to an index are kept, with so many bytes of data, at most.
func (log *replicatedLog) marginBefore(index Index, count, maxBytes int) Index {
	size := 0
	for kept := 0; index > log.baseIndex && kept < count; kept++ {
		size += len(log.entries[index-log.baseIndex-1].Data) + entryOverheadBytes
		if size > maxBytes {
			break
		}
		index--
	}
	return index
}

// compact drops the entries up to and including an index.
func (log *replicatedLog) compact(index Index) {
	term, known := log.term(index)
	if !known {
		return
	}
	log.entries = slices.Clone(log.entries[index-log.baseIndex:])
	log.baseIndex, log.baseTerm = index, term
}

// reset drops all entries and begins anew after a base.
func (log *replicatedLog) reset(index Index, term Term) {
	*log = replicatedLog{baseIndex: index, baseTerm: term}
}
