package main

import (
	"fmt"
	"slices"
	"time"

	"sumacloft/internal/control/coordination"
	"sumacloft/internal/control/member"
	"sumacloft/internal/status"
)

// locksCommand lists locks, or frees one.
type locksCommand struct {
	Address string `arg:"" help:"Inside address (host:port) of a control member."`
	Free    string `help:"Free the lock of this name, whoever holds it. Its holder learns of it at its next call only." placeholder:"NAME"`
}

// Run asks and prints the locks.
func (c *locksCommand) Run(to *streams) error {
	if c.Free != "" {
		return c.free(to)
	}
	answer, err := ask(member.CallLocks, c.Address, &member.LocksQuestion{})
	if err != nil {
		return err
	}
	for _, unknown := range answer.Unknown {
		if err := to.note("partition " + unknown + " has no leader that can be reached: its locks are missing here\n"); err != nil {
			return err
		}
	}
	return to.print(locksText(answer.Locks))
}

// free ends whatever holding of the lock is listed. The next holder's fence is higher; until the old holder's next call it
// does not know that it has lost the lock, so what it writes must be fenced.
func (c *locksCommand) free(to *streams) error {
	listed, err := ask(member.CallLocks, c.Address, &member.LocksQuestion{})
	if err != nil {
		return err
	}
	place := slices.IndexFunc(listed.Locks, func(held member.LockHeld) bool { return held.Name == c.Free })
	switch {
	case place >= 0:
		return c.finish(to, listed.Locks[place])
	case len(listed.Unknown) > 0:
		return askError.New("partitions %v have no leader that can be reached: try again in a second, and look at fleetd status", listed.Unknown)
	}
	return to.note("nobody holds the lock " + c.Free + "\n")
}

func (c *locksCommand) finish(to *streams, held member.LockHeld) error {
	call := &coordination.Call{Kind: coordination.FinishLock, Name: held.Name, Owner: held.Owner, Fence: held.Fence}
	answer, err := ask(member.CallApplication, c.Address, call)
	if err != nil {
		return err
	}
	if answer.Status != coordination.Done {
		return askError.New("the lock is not known to be free (%v): list the locks and try again", answer.Status)
	}
	return to.print("the lock " + held.Name + " is free\n")
}

func locksText(locks []member.LockHeld) string {
	if len(locks) == 0 {
		return "no lock is held\n"
	}
	list := newTable("LOCK", "OWNER", "FENCE", "HELD FOR", "LEFT")
	for _, held := range locks {
		list.row(held.Name, held.Owner, decimal(held.Fence),
			(time.Duration(held.HoldMS) * time.Millisecond).String(), (time.Duration(held.LeftMS) * time.Millisecond).String())
	}
	return list.String()
}

// cellsCommand reads a key.
type cellsCommand struct {
	Address string `arg:"" help:"Inside address (host:port) of a control member."`
	Key     string `arg:"" help:"The key."`
}

// Run asks and prints the value with its revision.
func (c *cellsCommand) Run(to *streams) error {
	answer, err := ask(member.CallApplication, c.Address, &coordination.Call{Kind: coordination.ReadCell, Name: c.Key})
	if err != nil {
		return err
	}
	switch answer.Status {
	case coordination.Done:
		return to.print(fmt.Sprintf("%s = %q, revision %d\n", c.Key, answer.Amount, answer.Revision))
	case coordination.Missing:
		return to.note("there is no key " + c.Key + "\n")
	}
	return askError.New("%s can't read it now (%v): ask another control member", c.Address, answer.Status)
}

// watchCommand follows a group of keys.
type watchCommand struct {
	Address string `arg:"" help:"Inside address (host:port) of a control member."`
	Group   string `arg:"" help:"The group of keys, dot included."`
	After   uint64 `help:"Revision above which puts are shown; 0: from now on."`
}

// watchQueue is how long one question of watchCommand waits: less than askLimit.
const watchQueue = 3 * time.Second

// Run asks again and again, until it is ended, and prints each put.
func (c *watchCommand) Run(to *streams) error {
	after := c.After
	for {
		answer, err := ask(member.CallApplication, c.Address, &coordination.Call{
			Kind: coordination.WatchCells, Name: c.Group, After: after, QueueMS: uint64(watchQueue.Milliseconds()),
		})
		if err != nil {
			return err
		}
		if answer.Status != coordination.Done {
			return askError.New("%s can't watch after revision %d (%v): ask another control member, or start from now on", c.Address, after, answer.Status)
		}
		for _, event := range answer.Events {
			if err := to.print(fmt.Sprintf("%d %s = %q\n", event.Revision, event.Key, event.Amount)); err != nil {
				return err
			}
		}
		if after == answer.Revision && after == 0 {
			time.Sleep(time.Second) // nothing was put yet, and after 0 nothing is waited for
		}
		after = answer.Revision
	}
}

// callsText is the counts of applications' calls.
func callsText(calls []status.Calls) string {
	if len(calls) == 0 {
		return ""
	}
	list := newTable("CALLS OF APPLICATIONS", "OUTCOME", "COUNT")
	for _, one := range calls {
		list.row(one.Kind, one.Outcome, decimal(one.Count))
	}
	return "\n" + list.String()
}
