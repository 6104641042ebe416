package disklog

// defects are the faults that tests put into a log to see that they are found. The zero value,
// which is what Open uses, has none.
type defects struct {
	// noChain lets each record's checksum stand alone.
	noChain bool
	// reuseStamps gives every write the same stamp.
	reuseStamps bool
	// commitUnsynced commits a checkpoint, and frees the older segments, before its sync.
	commitUnsynced bool
	// keepDoubtfulCommit does not take back a commit of unknown outcome.
	keepDoubtfulCommit bool
	// trustTail does not write the last batch again at Open.
	trustTail bool
	// trustSlot does not write the control slot again at Open.
	trustSlot bool
	// openEnd does not put zeros behind the last batch at Open.
	openEnd bool
}

// previous returns what a record's checksum continues from.
func (defects defects) previous(checksum uint32) uint32 {
	if defects.noChain {
		return 0
	}
	return checksum
}
