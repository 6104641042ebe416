package fleettest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"sumacloft/internal/control/disklog"
	"sumacloft/internal/control/member"
	"sumacloft/internal/fleettest/memnet"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/status"
)

// segmentBytes is the size of the files on members' disks: small, so that scenarios come to the end of some.
const segmentBytes = 256 << 10

// Control is a machine of a control member.
type Control struct {
	Node string
	IP   string
	Zone string

	fleet   *Fleet
	machine *memnet.Machine
	disk    *disk
	process *memnet.Process
	cancel  context.CancelFunc
	ended   chan struct{}
}

func (f *Fleet) newControl(i int, ip string) *Control {
	return &Control{
		Node:    fmt.Sprintf("control-%d", i),
		IP:      ip,
		Zone:    f.zone(i),
		fleet:   f,
		machine: f.Network.Machine(ip),
		disk:    newDisk(),
	}
}

// Replace takes the power from a control member for good and starts one with an empty disk and a new name in its place
// at another address. The others' settings stay as they are.
func (f *Fleet) Replace(lost int, ip string) *Control {
	f.Controls[lost].PowerOff()
	fresh := f.Add(f.Controls[lost], ip)
	f.put(lost, fresh)
	return fresh
}

// Add starts a member with an empty disk and a new name that is to take another's place.
func (f *Fleet) Add(instead *Control, ip string) *Control {
	f.mu.Lock()
	f.added++
	number := len(f.Controls) + f.added
	f.mu.Unlock()
	fresh := f.newControl(number, ip)
	fresh.Zone = instead.Zone
	fresh.Start(false)
	return fresh
}

// put has a member stand in another's place.
func (f *Fleet) put(place int, fresh *Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Controls[place] = fresh
}

// anyControl draws one of the control members; it may be called while others are replaced.
func (f *Fleet) anyControl() *Control {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Controls[rand.IntN(len(f.Controls))]
}

// Steering is where workers and the operator reach the member.
func (c *Control) Steering() string { return fmt.Sprintf("%s:%d", c.IP, steeringPort) }

// Inside is the member's inside address.
func (c *Control) Inside() string { return fmt.Sprintf("%s:%d", c.IP, insideFirst) }

// Start starts the member's process; first says that the whole fleet starts for the first time.
func (c *Control) Start(first bool) {
	settings := c.fleet.settings(c.Node, c.IP, c.Zone)
	settings.FirstRun = first
	settings.DataFolder = "data"
	settings.ListenOn.Control = c.Steering()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.process = c.machine.Process()
	c.ended = make(chan struct{})
	ended := c.ended
	folder := c.disk.mount()
	kept := member.Disk{
		Open:  func(string) (disklog.FileSystem, error) { return folder, nil },
		Sizes: disklog.Options{SegmentBytes: segmentBytes},
	}
	log := c.fleet.log.logger(c.Node)
	running := member.New(settings, c.process, kept, log)
	running.InjectFaults(c.fleet.plan.Faults.Member)
	c.fleet.process(func() {
		defer close(ended)
		if err := running.Run(ctx); err != nil {
			log.Error().Err(err).Msg("ended")
			return
		}
		running.Close()
	}, c.PowerOff)
}

// Kill ends the process at once. The disk keeps all that was written.
func (c *Control) Kill() {
	c.process.Kill()
	c.disk.with(func(d *memdisk) { d.Restart() })
	c.disk.resumeSyncs()
	c.cancel()
}

// PowerOff takes the machine's power; what the disk has not synced is lost or torn.
func (c *Control) PowerOff() {
	c.machine.PowerOff()
	c.disk.with(func(d *memdisk) { d.LosePower(rand.IntN) })
	c.disk.resumeSyncs()
	c.cancel()
}

// PowerOn restores the power and starts the process.
func (c *Control) PowerOn() {
	c.machine.PowerOn()
	c.Start(false)
}

// Wipe loses the disk of a member that does not run.
func (c *Control) Wipe() { c.disk.with(func(d *memdisk) { d.Wipe() }) }

// Fill makes the disk refuse every write, or take them again.
func (c *Control) Fill(full bool) { c.disk.with(func(d *memdisk) { d.SetFull(full) }) }

// StallDisk makes syncs of the disk take until the member's end.
func (c *Control) StallDisk() { c.disk.stall() }

// Stop ends the process as SIGTERM does, and waits for its end.
func (c *Control) Stop() {
	c.cancel()
	<-c.ended
	c.process.Kill()
	c.disk.with(func(d *memdisk) { d.Restart() })
}

// reportLimit bounds the request for a report.
const reportLimit = 500 * time.Millisecond

// Report is what the member tells operators; nil if it does not answer.
func (c *Control) Report() *status.Report {
	ctx, cancel := context.WithTimeout(context.Background(), reportLimit)
	defer cancel()
	report, err := status.CallStatus.Call(ctx, rpc.NewClient(c.fleet.Operator.process), c.Inside(), &status.Request{})
	if err != nil {
		return nil
	}
	return report
}

// Partition is the member's part in a partition; nil if it does not answer.
func (c *Control) Partition(number uint32) *status.Partition {
	report := c.Report()
	if report == nil {
		return nil
	}
	for i := range report.Partitions {
		if report.Partitions[i].Number == number {
			return &report.Partitions[i]
		}
	}
	return nil
}

// Identity is the member's identity in a partition, with whether it is a voter there.
func (c *Control) Identity(number uint32) (id string, voter bool) {
	part := c.Partition(number)
	if part == nil {
		return "", false
	}
	for _, one := range part.Members {
		if one.Self {
			return one.ID, one.Voter
		}
	}
	return "", false
}

// Leader waits until one of the members that answer leads a partition, and returns it.
func (f *Fleet) Leader(number uint32) *Control {
	f.t.Helper()
	var leader *Control
	f.Until(electionLimit, "a leader", func() bool {
		leader = nil
		term := uint64(0)
		for _, control := range f.Controls {
			part := control.Partition(number)
			if part != nil && part.Role == "leader" && part.Term > term {
				leader, term = control, part.Term
			}
		}
		return leader != nil
	})
	return leader
}

// electionLimit is how long Leader waits.
const electionLimit = 10 * time.Second

// Others are the control members but one.
func (f *Fleet) Others(but *Control) []*Control {
	var others []*Control
	for _, control := range f.Controls {
		if control != but {
			others = append(others, control)
		}
	}
	return others
}
