package inflight

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// opened opens a connection that records its eviction.
func opened(c *qt.C, account *Account) (holder *Holder, causes *[]Cause) {
	c.Helper()
	causes = &[]Cause{}
	holder, err := account.Open(false, func(cause Cause) { *causes = append(*causes, cause) })
	c.Assert(err, qt.IsNil)
	return holder, causes
}

const megabyte = 1 << 20

func TestTheLargestHolderMakesRoom(t *testing.T) {
	c := qt.New(t)
	// Given a full account with a large, a larger and a small holder.
	account := New(Limits{Bytes: 16 * megabyte, Connections: 100}, Hooks{})
	large, largeEvicted := opened(c, account)
	c.Assert(large.Grow(3*megabyte), qt.IsNil)
	larger, largerEvicted := opened(c, account)
	c.Assert(larger.Grow(9*megabyte), qt.IsNil)
	small, smallEvicted := opened(c, account)
	c.Assert(small.Grow(100), qt.IsNil)
	// When another one grows beyond what is left.
	next, nextEvicted := opened(c, account)
	c.Assert(next.Grow(2*megabyte), qt.IsNil)
	// Then the largest makes room, and no other.
	c.Assert(*largerEvicted, qt.DeepEquals, []Cause{NeedMemory})
	c.Assert(larger.Grow(1), qt.Equals, ErrEvicted)
	c.Assert(len(*largeEvicted)+len(*smallEvicted)+len(*nextEvicted), qt.Equals, 0)
}

func TestTheLongestInactiveOfOneSizeMakesRoom(t *testing.T) {
	c := qt.New(t)
	account := New(Limits{Bytes: 16 * megabyte, Connections: 100}, Hooks{})
	first, firstEvicted := opened(c, account)
	c.Assert(first.Grow(5*megabyte), qt.IsNil)
	second, secondEvicted := opened(c, account)
	c.Assert(second.Grow(5*megabyte), qt.IsNil)
	first.Touch()
	third, _ := opened(c, account)
	c.Assert(third.Grow(5*megabyte), qt.IsNil)
	c.Assert(*secondEvicted, qt.DeepEquals, []Cause{NeedMemory})
	c.Assert(len(*firstEvicted), qt.Equals, 0)
}

func TestARunningRequestIsNotEvicted(t *testing.T) {
	c := qt.New(t)
	// Given an account that is full of a request that runs.
	account := New(Limits{Bytes: 4 * megabyte, Connections: 1}, Hooks{})
	running, evicted := opened(c, account)
	c.Assert(running.Grow(3*megabyte), qt.IsNil)
	c.Assert(running.Pin(), qt.IsNil)
	// Then neither bytes nor a connection make it end.
	_, err := account.Open(false, nil)
	c.Assert(err, qt.Equals, ErrFull)
	c.Assert(running.Grow(2*megabyte), qt.Equals, ErrFull)
	c.Assert(len(*evicted), qt.Equals, 0)
	// When it waits for its client to read, then it does.
	running.Unpin()
	_, err = account.Open(false, func(Cause) {})
	c.Assert(err, qt.IsNil)
	c.Assert(*evicted, qt.DeepEquals, []Cause{NeedConnection})
	c.Assert(running.Pin(), qt.Equals, ErrEvicted)
	c.Assert(account.Held(), qt.Equals, int64(0))
}

func TestSmallRequestsHaveAReserve(t *testing.T) {
	c := qt.New(t)
	account := New(Limits{Bytes: 4 * megabyte, Connections: 10}, Hooks{})
	running, _ := opened(c, account)
	c.Assert(running.Grow(3*megabyte), qt.IsNil)
	c.Assert(running.Pin(), qt.IsNil)
	small, _ := opened(c, account)
	c.Assert(small.Grow(smallHolder), qt.IsNil)
	c.Assert(small.Grow(1), qt.Equals, ErrFull)
}

func TestPreferredConnectionsHaveAReserve(t *testing.T) {
	c := qt.New(t)
	account := New(Limits{Bytes: megabyte, Connections: 16}, Hooks{})
	for range 15 {
		holder, err := account.Open(false, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(holder.Pin(), qt.IsNil)
	}
	_, err := account.Open(false, nil)
	c.Assert(err, qt.Equals, ErrFull)
	_, err = account.Open(true, nil)
	c.Assert(err, qt.IsNil)
}

// Guards against memory that counts as free before the collector has freed it.
func TestLargeHoldersWaitForWhatWasReleased(t *testing.T) {
	c := qt.New(t)
	collections := 0
	account := New(Limits{Bytes: 8 * megabyte, Connections: 10}, Hooks{Collect: func() { collections++ }})
	for range 10 {
		holder, _ := opened(c, account)
		c.Assert(holder.Grow(3*megabyte), qt.IsNil)
		holder.Close()
	}
	// 30 MB came and went. No more than 8 MB were there between two collections.
	c.Assert(collections, qt.Equals, 4)
}

func TestABodyIsChargedAsItComes(t *testing.T) {
	c := qt.New(t)
	account := New(Limits{Bytes: 16 * megabyte, Connections: 10}, Hooks{})
	holder, _ := opened(c, account)
	text := strings.Repeat("x", megabyte)
	for name, given := range map[string]struct {
		reader io.Reader
		length int64
	}{
		"announced": {strings.NewReader(text), megabyte},
		"chunked":   {strings.NewReader(text), -1},
		"one byte":  {iotest.OneByteReader(strings.NewReader(text)), -1},
	} {
		body, err := ReadBody(given.reader, given.length, megabyte, holder)
		c.Assert(err, qt.IsNil, qt.Commentf(name))
		c.Assert(string(body) == text, qt.IsTrue, qt.Commentf(name))
		c.Assert(account.Held(), qt.Equals, int64(cap(body)), qt.Commentf(name))
		holder.Settle(0)
	}
	// A body that announces much and sends nothing is charged little, and nothing once it has failed.
	most := int64(0)
	_, err := ReadBody(readerFunc(func() { most = max(most, account.Held()) }), 4*megabyte, 4*megabyte, holder)
	c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	c.Assert(most, qt.Equals, int64(firstPiece))
	c.Assert(account.Held(), qt.Equals, int64(0))
	_, err = ReadBody(strings.NewReader(text+"x"), -1, megabyte, holder)
	c.Assert(err, qt.Equals, ErrTooLarge)
	_, err = ReadBody(strings.NewReader(text), megabyte+1, megabyte, holder)
	c.Assert(err, qt.Equals, ErrTooLarge)
	c.Assert(account.Held(), qt.Equals, int64(0))
}

// readerFunc is a reader without bytes that calls a function.
type readerFunc func()

func (f readerFunc) Read([]byte) (int, error) {
	f()
	return 0, io.EOF
}

// Whatever holders do, the account holds what they hold, never more than its limits, and pinned holders stay.
func TestAccountKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: rapid.Int64Range(1, 4*megabyte).Draw(t, "bytes"), Connections: rapid.IntRange(1, 8).Draw(t, "connections")}
		account := New(limits, Hooks{Collect: func() {}})
		var holders []*Holder
		pinned := map[*Holder]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				var holder *Holder
				holder, err := account.Open(rapid.Bool().Draw(t, "preferred"), func(Cause) {
					if pinned[holder] {
						t.Fatal("a running request was evicted")
					}
				})
				if err == nil {
					holders = append(holders, holder)
				}
			},
			"change": func(t *rapid.T) {
				if len(holders) == 0 {
					t.Skip("no holder")
				}
				holder := rapid.SampledFrom(holders).Draw(t, "holder")
				switch rapid.IntRange(0, 6).Draw(t, "change") {
				case 0:
					_ = holder.Grow(rapid.Int64Range(0, 2*megabyte).Draw(t, "more")) // a refusal changes nothing
				case 1:
					holder.Shrink(rapid.Int64Range(0, megabyte).Draw(t, "less"))
				case 2:
					pinned[holder] = holder.Pin() == nil
				case 3:
					holder.Unpin()
					pinned[holder] = holder.Pinned()
				case 4:
					holder.Settle(0)
					pinned[holder] = false
				case 5:
					holder.Touch()
				case 6:
					holder.Close()
					pinned[holder] = false
				}
			},
			"": func(t *rapid.T) {
				held, open := int64(0), 0
				for _, holder := range holders {
					held += holder.held
					if !holder.gone {
						open++
					}
				}
				if held != account.held || open != account.open || held > limits.Bytes || open > limits.Connections {
					t.Fatalf("holders have %d bytes and %d connections, the account %d and %d, its limits are %v", held, open, account.held, account.open, limits)
				}
			},
		})
	})
}
