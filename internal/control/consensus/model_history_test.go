package consensus_test

import (
	"bytes"
	"fmt"

	"sumacloft/internal/control/consensus"
)

// Bounds of what a history can hold; a model keeps well inside of them.
const (
	mostTerms   = 12
	mostMembers = 8
	mostEntries = 12
)

// committed is an entry that a member took for committed.
type committed struct {
	term consensus.Term
	kind consensus.EntryKind
	data string
	// known is the earliest term in which a member took it for committed; 0: none yet.
	known consensus.Term
}

// history is what the promises are about: what members did, whether or not they still know.
type history struct {
	leaders   [mostTerms]uint8              // by term
	votes     [mostMembers][mostTerms]uint8 // of a member, by term
	committed [mostEntries]committed
}

// lead notes that a member leads.
func (past *history) lead(member *actor) error {
	term := consensus.TermOf(member.node)
	known := past.leaders[term]
	if known == uint8(member.id) {
		return nil
	}
	if known != 0 {
		return fmt.Errorf("election safety: members %d and %d lead in term %d", known, member.id, term)
	}
	past.leaders[term] = uint8(member.id)
	return past.complete(member, term)
}

// complete checks that a new leader has all that was committed in terms before its own.
func (past *history) complete(member *actor, term consensus.Term) error {
	for index, entry := range past.committed {
		if entry.known == 0 || entry.known >= term {
			continue
		}
		if !consensus.Holds(member.node, consensus.Index(index), entry.term) {
			return fmt.Errorf("leader completeness: member %d leads in term %d without the entry at index %d",
				member.id, term, index)
		}
	}
	return nil
}

// vote notes that a member voted.
func (past *history) vote(voter consensus.MemberID, term consensus.Term, candidate consensus.MemberID) error {
	known := past.votes[voter][term]
	if known != 0 && known != uint8(candidate) {
		return fmt.Errorf("one vote a term: member %d votes for %d and for %d in term %d", voter, known, candidate, term)
	}
	past.votes[voter][term] = uint8(candidate)
	return nil
}

// sent notes what a message that went out says of votes.
func (past *history) sent(message consensus.Message) error {
	switch {
	case message.Kind == consensus.MessageVote:
		return past.vote(message.From, message.Term, message.From)
	case message.Kind == consensus.MessageVoteAnswer && !message.Reject:
		return past.vote(message.From, message.Term, message.To)
	}
	return nil
}

// commit notes that a member took an entry for committed.
func (past *history) commit(member *actor, entry consensus.Entry) error {
	known := &past.committed[entry.Index]
	term := consensus.TermOf(member.node)
	if known.known == 0 {
		*known = committed{term: entry.Term, kind: entry.Kind, data: string(entry.Data), known: term}
		return nil
	}
	same := known.term == entry.Term && known.kind == entry.Kind && bytes.Equal([]byte(known.data), entry.Data)
	if !same {
		return fmt.Errorf("state machine safety: member %d applies an entry of term %d at index %d, another one of term %d",
			member.id, entry.Term, entry.Index, known.term)
	}
	known.known = min(known.known, term)
	return nil
}

// appendPrint writes down the history.
func (past *history) appendPrint(bytes []byte) []byte {
	for term := range past.leaders {
		bytes = append(bytes, past.leaders[term])
	}
	for voter := range past.votes {
		for term, candidate := range past.votes[voter] {
			if candidate != 0 {
				bytes = append(bytes, byte(voter), byte(term), candidate)
			}
		}
	}
	for index, entry := range past.committed {
		if entry.known != 0 {
			bytes = append(bytes, byte(index), byte(entry.term), byte(entry.kind), byte(entry.known))
			bytes = append(bytes, entry.data...)
		}
	}
	return append(bytes, 0)
}

// matching checks that two logs which hold the same entry agree before it.
func matching(left, right *actor) error {
	index, agree := consensus.LogsMatch(left.node, right.node)
	if agree {
		return nil
	}
	return fmt.Errorf("log matching: members %d and %d agree after index %d but not at it", left.id, right.id, index)
}
