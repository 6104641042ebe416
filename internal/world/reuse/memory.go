package reuse

import (
	"container/list"

	decide "sumacloft/internal/decide/reuse"
)

// memory is what a region keeps: the least recently used goes first, but for what is held.
type memory struct {
	size, used int
	at         map[decide.Key]*list.Element
	order      *list.List // most recently used first
}

type kept struct {
	key    decide.Key
	tokens int
	held   bool
}

func newMemory(size int) *memory {
	return &memory{size: size, at: map[decide.Key]*list.Element{}, order: list.New()}
}

// has tells whether it keeps something, without using it.
func (m *memory) has(k decide.Key) bool { return m.at[k] != nil }

// use tells how many tokens of something are kept, and keeps as many as it has from now on.
func (m *memory) use(k decide.Key, tokens int) (had int) {
	if e := m.at[k]; e != nil {
		one := e.Value.(*kept)
		had = min(one.tokens, tokens)
		m.used += tokens - one.tokens
		one.tokens = tokens
		m.order.MoveToFront(e)
	} else if tokens > 0 {
		m.at[k] = m.order.PushFront(&kept{key: k, tokens: tokens})
		m.used += tokens
	}
	for e := m.order.Back(); m.used > m.size && e != nil; {
		one, before := e.Value.(*kept), e.Prev()
		if !one.held && one.key != k {
			m.used -= one.tokens
			delete(m.at, one.key)
			m.order.Remove(e)
		}
		e = before
	}
	return had
}

// hold keeps something whatever is used, or no more so.
func (m *memory) hold(k decide.Key, held bool) {
	if e := m.at[k]; e != nil {
		e.Value.(*kept).held = held
	}
}
