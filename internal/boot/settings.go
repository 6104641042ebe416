// Package boot reads the settings file that a process is started with.
//
// The file has lines of the form a.b=value. Items of a list are separated by commas, empty values count as missing, and
// fields that the package does not know are skipped, so a newer platform may add some. Reading is all that happens here:
// a process that is told to load its settings again calls Load again and keeps its old ones when that fails.
package boot

import (
	"slices"
	"time"

	"sumacloft/internal/trial"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "SUMACLOFT_BOOT"

// What a role may serve to callers from outside; see Settings.Serves.
const (
	ServesEdge     = "edge"     // clients
	ServesSteering = "steering" // workers and the operator
)

// Settings is everything a process is told at its start. Every field that a file leaves out holds its default, which is
// the zero value where the field's comment names no other.
type Settings struct {
	Node        string            // name of this machine; required
	Role        string            // name of the role that this process runs
	MachineType string            // class of the machine, as "edge" or "middle"
	Serves      []string          // whom the role serves from outside: ServesEdge, ServesSteering, or none
	IP          string            // IPv4 address of the machine; required
	Zone        string            // zone of the machine; required
	Region      string            // region of the machine; default: what Zones says of Zone
	Zones       map[string]string // region of each zone of the deployment, by the zone's name
	ListenOn    ListenOn          // where to listen for what the role serves
	InsidePorts PortRange         // ports free for traffic among the processes of the system; required
	Starters    []string          // control addresses (host:port) of processes to join through
	FirstRun    bool              // the whole system starts for the first time, with empty disks
	Counted     bool              // the machine counts among those that Bear.Machines bounds
	Limits      MachineLimits     // what the process may use
	DataFolder  string            // folder of the files that outlive the process; "" where there is no disk
	// HeartbeatInterval is about how often a worker registers; default DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	Promises          []string // the parts of the rules that are in force
	Bear              Losses   // what may be lost at once while every rule is kept
	Rules             Rules    // the figures of the rules

	Trial trial.Off // mechanisms that the command line switches off; no field of the file
}

// ListenOn holds the addresses (host:port) that a process listens on for callers from outside; "" where it serves none.
type ListenOn struct {
	Front   string // requests of clients; required where the role serves ServesEdge
	Ready   string // the platform's question whether this process takes clients; required like Front
	Control string // workers and the operator; required where the role serves ServesSteering
}

// PortRange is a range of ports, both ends included.
type PortRange struct {
	First int
	Last  int
}

// Count returns how many ports the range holds.
func (r PortRange) Count() int {
	return r.Last - r.First + 1
}

// MachineLimits is what a process may use. The default of each field is the constant named after it.
type MachineLimits struct {
	CPUPart   float64 // part of a core that the process gets
	Cores     float64 // how many times as fast as the reference that core is
	MemoryMB  int     // a process above this is killed
	OpenFiles int     // descriptors, sockets included
	LinkMbps  float64 // bandwidth of the machine's link, in megabits a second
	DiskMB    int     // size of the disk; 0 where there is none
}

// Losses is what may be lost at once: machines that count, or zones, or regions.
type Losses struct {
	Machines int
	Zones    int
	Regions  int
}

// Rules holds the figures of the rules. The default of each field is the constant named after it; durations of the file
// may be in seconds (names ending in _s) or milliseconds (_ms).
type Rules struct {
	StarterDelay   time.Duration // how far the list that callers choose control processes from lags behind
	ReuseAfter     time.Duration // how long the address of a worker that ended stays unused
	InTouch        time.Duration // how long a machine must have been undisturbed to count as in touch
	AnswerWithin   time.Duration // longest time until an order of the operator is acknowledged
	CatchUp        time.Duration // how long a machine that came back still counts as lost
	EmptyOut       time.Duration // how long a leaving worker still takes requests after the acknowledgement
	Grace          time.Duration // time from SIGTERM to SIGKILL
	LossSlack      time.Duration // a connection that ends this long after its request was sent counts as lost work
	SettingsWithin time.Duration // time until an acknowledged configuration is in force everywhere
	GoBack         time.Duration // time after which no machine may act on an older version than was seen
	Stretch        time.Duration // by how much an unstable core extends SettingsWithin
	RetryRatio     float64       // repeated attempts allowed for each request, in any RetryWindow
	RetryWindow    time.Duration // window in which repeated attempts are counted
	ExtraTries     int           // repeated attempts allowed beyond RetryRatio, in any RetryWindow
	History        time.Duration // for how long a watch of keys may be resumed from a revision
	Release        time.Duration // time after a lock's end within which it is free for others
	Recovery       time.Duration // time until the system serves again after the last fault
	Transit        time.Duration // longest time from a worker's event to its client
	Again          time.Duration // how long a keyed request may be repeated; 0: there are none
	Fenced         bool          // workers themselves refuse an order with a lower fencing token
	Lease          time.Duration // shortest time between orders of two holders
	Thaw           time.Duration // orders this soon after a thaw or a healed link are not held against a holder
}

// Promised reports whether the named part of the rules is in force.
func (s *Settings) Promised(part string) bool {
	return slices.Contains(s.Promises, part)
}

// Serving reports whether the role serves the named callers, ServesEdge or ServesSteering.
func (s *Settings) Serving(callers string) bool {
	return slices.Contains(s.Serves, callers)
}
