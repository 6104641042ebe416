package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"sumacloft/internal/control/disklog"
	"sumacloft/internal/control/member"
)

// diskError is the class of disks that a command can't work on.
var diskError = errs.Class("disk")

// runningLimit bounds the question whether the member whose disk it is still runs.
const runningLimit = 500 * time.Millisecond

// diskCommand works on the disk of a control member that does not run.
type diskCommand struct {
	Show    diskShowCommand    `cmd:"" help:"Show what the disk of a stopped control member holds of the partitions."`
	Restore diskRestoreCommand `cmd:"" help:"Make the disk of a stopped control member the only one of the partitions, after a majority of the disks was lost for good."`
}

// diskShowCommand shows what is on a disk.
type diskShowCommand struct {
	Folder string `arg:"" help:"The member's data_folder."`
}

// Run prints what the disk holds.
func (c *diskShowCommand) Run(to *streams) error {
	remains, err := openRemains(c.Folder)
	if err != nil {
		return err
	}
	defer func() { _ = remains.Close() }() // what counts is on disk
	return to.print(remainsText(remains))
}

// diskRestoreCommand restores the partitions from one disk.
type diskRestoreCommand struct {
	Folder string `arg:"" help:"The member's data_folder."`
	// MajorityLost has the operator say what the command is for.
	MajorityLost bool `help:"Say that a majority of the control members' disks is lost for good, and that none of the others is ever used again."`
}

// restoredAdvice is what to do after a restore.
const restoredAdvice = `
This disk is the only member of all partitions now, under a new identity. What only the lost disks held is gone.
1. Empty the data folders of all other control members, also of those whose disks are whole: what is on them counts for the
   old partitions.
2. Start this member first, then the others, all with first_run=false. They join and vote within seconds; see fleetd status.
3. Compare the version above with what routers have (fleetd status at agents). Where a router has a higher one, the order that
   made it is lost here: send your newest configuration again, with a version above all of these, built on the one above.
`

// Run restores and says what follows.
func (c *diskRestoreCommand) Run(to *streams) error {
	if !c.MajorityLost {
		return diskError.New("nothing was changed: this gives up all that only the other disks hold; " +
			"while a majority of them can be brought back, start their members instead; else say --majority-lost")
	}
	remains, err := openRemains(c.Folder)
	if err != nil {
		return err
	}
	defer func() { _ = remains.Close() }() // what counts is on disk
	before := remainsText(remains)
	configuration, err := remains.Restore()
	if err != nil {
		return err
	}
	return to.print("BEFORE\n" + before + "\nAFTER\n" + remainsText(remains) + configurationText(configuration) + restoredAdvice)
}

// openRemains reads the disk of a member that does not run. Opening a log writes to it, so whose disk it is, and whether that
// member runs, is found out on a copy.
func openRemains(folder string) (*member.OfflineDisk, error) {
	if _, err := os.Stat(filepath.Join(folder, disklog.ControlName)); err != nil {
		return nil, diskError.New("%s is no data folder of a control member: %w", folder, err)
	}
	address, err := addressOn(folder)
	if err != nil {
		return nil, err
	}
	if running(address) {
		return nil, diskError.New("something answers at %s, the address of this disk's member: end it first", address)
	}
	return remainsIn(folder)
}

// addressOn is the address of the member whose disk it is, read on a copy.
func addressOn(folder string) (string, error) {
	copied, err := os.MkdirTemp("", "fleetd-disk-")
	if err != nil {
		return "", diskError.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(copied) }() // of no more use
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		return "", diskError.New("%s can't be copied: %w", folder, err)
	}
	remains, err := remainsIn(copied)
	if err != nil {
		return "", err
	}
	return remains.Self().Address, remains.Close()
}

// remainsIn opens the log in a folder.
func remainsIn(folder string) (*member.OfflineDisk, error) {
	files, err := disklog.OS(folder)
	if err != nil {
		return nil, err
	}
	return member.OpenOfflineDisk(files)
}

// running tells whether something takes connections at an address.
func running(address string) bool {
	conn, err := net.DialTimeout("tcp", address, runningLimit)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// remainsText is what a disk holds, for people.
func remainsText(remains *member.OfflineDisk) string {
	self := remains.Self()
	t := newTable("PARTITION", "TERM", "LAST TERM", "LAST", "KNOWN COMMITTED", "VOTERS")
	for _, group := range remains.Groups() {
		var voters []string
		for _, voter := range group.Voters {
			voters = append(voters, voter.Address)
		}
		t.row(remains.Name(group.Number), decimal(uint64(group.Term)), decimal(uint64(group.LastTerm)), decimal(uint64(group.Last)),
			decimal(uint64(group.Committed)), orDash(strings.Join(voters, " ")))
	}
	return fmt.Sprintf("member %x at %s\n", uint64(self.ID), orDash(self.Address)) + t.String()
}
