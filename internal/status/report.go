// Package status defines the report that a process of the fleet serves to operators and the calls that fetch it. It
// also builds reports from a router's copy of the replicated map.
package status

// Kinds of processes that serve a report.
const (
	KindControl = "control"
	KindAgent   = "agent"
	KindProxy   = "proxy"
)

// Request asks a process for its Report.
type Request struct{}

// Report is the fleet as one process knows it.
type Report struct {
	Kind          string        `cbor:"1,keyasint" json:"kind"` // KindControl or KindAgent
	Node          string        `cbor:"2,keyasint" json:"node"`
	Zone          string        `cbor:"3,keyasint" json:"zone"`
	UpMS          int64         `cbor:"4,keyasint" json:"up_ms"` // since the process started
	Configuration Configuration `cbor:"5,keyasint" json:"configuration"`
	Controls      []Peer        `cbor:"6,keyasint,omitempty" json:"controls"`
	Routers       []Peer        `cbor:"7,keyasint,omitempty" json:"routers"`
	Workers       []Workers     `cbor:"8,keyasint,omitempty" json:"workers"`
	Partitions    []Partition   `cbor:"9,keyasint,omitempty" json:"partitions,omitempty"`   // of control members
	Disk          *Disk         `cbor:"10,keyasint,omitempty" json:"disk,omitempty"`        // of control members
	Balances      []Balance     `cbor:"11,keyasint,omitempty" json:"balances,omitempty"`    // of the member that balances phases
	Decisions     []Decision    `cbor:"12,keyasint,omitempty" json:"decisions,omitempty"`   // of proxies
	Ending        []Wait        `cbor:"13,keyasint,omitempty" json:"ending,omitempty"`      // of control members that are shutting down
	Orders        *OrderMemory  `cbor:"14,keyasint,omitempty" json:"orders,omitempty"`      // of control members
	Link          *Link         `cbor:"15,keyasint,omitempty" json:"link,omitempty"`        // of agents and proxies
	Connections   *Connections  `cbor:"16,keyasint,omitempty" json:"connections,omitempty"` // of proxies
	Traffic       []Traffic     `cbor:"17,keyasint,omitempty" json:"traffic,omitempty"`
	Calls         []Calls       `cbor:"18,keyasint,omitempty" json:"calls,omitempty"` // of control members
}

// Calls counts the applications' calls of one kind and one outcome that a control member has received since its start.
type Calls struct {
	Kind    string `cbor:"1,keyasint" json:"kind"`
	Outcome string `cbor:"2,keyasint" json:"outcome"`
	Count   uint64 `cbor:"3,keyasint" json:"count"`
}

// Traffic counts the messages of one kind, with their answers, that this process has sent since its start, to its own
// zone or to others. Byte counts exclude TCP, UDP and IP headers.
type Traffic struct {
	Kind     string `cbor:"1,keyasint" json:"kind"` // path of a call, or a kind of package traffic
	OwnZone  bool   `cbor:"2,keyasint,omitempty" json:"own_zone"`
	Messages uint64 `cbor:"3,keyasint" json:"messages"`
	Sent     uint64 `cbor:"4,keyasint" json:"sent_bytes"`
	Received uint64 `cbor:"5,keyasint" json:"received_bytes"`
}

// Wait is something that a control member's shutdown is waiting for.
type Wait struct {
	Partition string `cbor:"1,keyasint" json:"partition"` // its name
	For       string `cbor:"2,keyasint" json:"for"`
}

// OrderMemory reports how much a control member remembers of the operator's orders. An order older than that is
// answered with 503, as its outcome is unknown.
type OrderMemory struct {
	Taken       int    `cbor:"1,keyasint" json:"taken"`        // accepted orders; a repeated one is acknowledged again
	MostTaken   int    `cbor:"2,keyasint" json:"most_taken"`   // bound of Taken
	Forgotten   uint64 `cbor:"3,keyasint" json:"forgotten"`    // highest version of the accepted orders that are no longer remembered; 0: none
	Refused     int    `cbor:"4,keyasint" json:"refused"`      // orders refused because their base version had not arrived
	MostRefused int    `cbor:"5,keyasint" json:"most_refused"` // bound of Refused
}

// Link is the state of an edge router's link to the control plane.
type Link struct {
	State         string `cbor:"1,keyasint" json:"state"`
	Advice        string `cbor:"2,keyasint,omitempty" json:"advice,omitempty"`
	DisksReported int    `cbor:"3,keyasint,omitempty" json:"disks_heard"`  // voters that have reported their disk's state since the start
	DisksNeeded   int    `cbor:"4,keyasint,omitempty" json:"disks_wanted"` // a majority of the voters
}

// Connections counts a proxy's connections to workers since its start.
type Connections struct {
	Opened uint64 `cbor:"1,keyasint" json:"opened"`
	// WithoutID counts answers without the request's id. Each costs its connection, as a second answer on it could not
	// be distinguished from the answer to the next request.
	WithoutID uint64 `cbor:"2,keyasint" json:"without_id"`
}

// Decision counts a proxy's decisions of one kind and reason since its start.
type Decision struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Kind    string `cbor:"2,keyasint" json:"kind"` // refused, failed, repeated attempt at a worker, or an attempt that was not allowed
	Why     string `cbor:"3,keyasint" json:"why"`
	Count   uint64 `cbor:"4,keyasint" json:"count"`
}

// Balance is the latest measurement and target of the balance between a service's phases, with the reason.
type Balance struct {
	Service       string  `cbor:"1,keyasint" json:"service"`
	Readers       int     `cbor:"2,keyasint,omitempty" json:"readers"` // that answered
	Writers       int     `cbor:"3,keyasint,omitempty" json:"writers"` // that answered
	ReadersInUse  float64 `cbor:"4,keyasint,omitempty" json:"readers_in_use"`
	WritersInUse  float64 `cbor:"5,keyasint,omitempty" json:"writers_in_use"`
	ReadPressure  float64 `cbor:"6,keyasint,omitempty" json:"read_pressure"` // utilization relative to its target; 1: at the target
	WritePressure float64 `cbor:"7,keyasint,omitempty" json:"write_pressure"`
	ReadsQueued   int     `cbor:"8,keyasint,omitempty" json:"reads_queued"`
	Target        int     `cbor:"9,keyasint,omitempty" json:"writers_wanted"`
	Reason        string  `cbor:"10,keyasint,omitempty" json:"reason"`
	Orders        int     `cbor:"11,keyasint,omitempty" json:"orders"` // sent since this member took over balancing
}

// Configuration identifies the operator's configuration that the process has in force.
type Configuration struct {
	Version uint64 `cbor:"1,keyasint,omitempty" json:"version"` // the operator's number; 0: there is none
	Index   uint64 `cbor:"2,keyasint,omitempty" json:"index"`   // of the log entry that set it
}

// Peer is a control member or an edge router.
type Peer struct {
	Node        string `cbor:"1,keyasint" json:"node"`
	Zone        string `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`        // unknown for a peer that is down
	Address     string `cbor:"3,keyasint,omitempty" json:"address,omitempty"`     // of its inside port; unknown for a peer that is down
	Steering    string `cbor:"4,keyasint,omitempty" json:"steering,omitempty"`    // where workers and the operator reach a control member
	Down        bool   `cbor:"5,keyasint,omitempty" json:"down"`                  // it left or stopped sending heartbeats
	Incarnation uint64 `cbor:"6,keyasint,omitempty" json:"incarnation,omitempty"` // increases with each start
}

// Workers counts the workers of one service and phase by their states.
type Workers struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Phase   string `cbor:"2,keyasint,omitempty" json:"phase,omitempty"` // "" where workers have none
	Up      int    `cbor:"3,keyasint,omitempty" json:"up"`
	Leaving int    `cbor:"4,keyasint,omitempty" json:"leaving"`
	Lapsed  int    `cbor:"5,keyasint,omitempty" json:"lapsed"`
	Gone    int    `cbor:"6,keyasint,omitempty" json:"gone"`
}

// Partition is a control member's state in one partition of the control state.
type Partition struct {
	Number     uint32   `cbor:"1,keyasint" json:"number"`
	Name       string   `cbor:"2,keyasint" json:"name"` // of the state that it holds
	Role       string   `cbor:"3,keyasint" json:"role"`
	Term       uint64   `cbor:"4,keyasint" json:"term"`
	Leader     string   `cbor:"5,keyasint,omitempty" json:"leader,omitempty"` // inside address; "" while none is known
	Commit     uint64   `cbor:"6,keyasint" json:"commit"`
	Applied    uint64   `cbor:"7,keyasint" json:"applied"`
	Last       uint64   `cbor:"8,keyasint" json:"last"`
	Stable     uint64   `cbor:"9,keyasint" json:"stable"`    // last log index on this member's disk
	Snapshot   uint64   `cbor:"10,keyasint" json:"snapshot"` // index of the latest snapshot
	Pending    bool     `cbor:"11,keyasint,omitempty" json:"membership_pending"`
	DiskFailed bool     `cbor:"12,keyasint,omitempty" json:"disk_failed"` // the disk refuses writes
	Members    []Member `cbor:"13,keyasint,omitempty" json:"members"`
}

// Member is one member of a partition.
type Member struct {
	ID      string `cbor:"1,keyasint" json:"id"` // hexadecimal
	Node    string `cbor:"2,keyasint,omitempty" json:"node"`
	Address string `cbor:"3,keyasint,omitempty" json:"address"`
	Voter   bool   `cbor:"4,keyasint,omitempty" json:"voter"` // false: a learner
	Self    bool   `cbor:"5,keyasint,omitempty" json:"self"`
	// Progress is the leader's view of this member. It is nil in the reports of members that are not the leader.
	Progress *Progress `cbor:"6,keyasint,omitempty" json:"progress,omitempty"`
}

// Progress is a leader's view of another member's replication.
type Progress struct {
	State     string `cbor:"1,keyasint" json:"state"`
	Match     uint64 `cbor:"2,keyasint" json:"match"` // last log index on the member's disk
	Responded bool   `cbor:"3,keyasint,omitempty" json:"heard"`
	SilentMS  int64  `cbor:"4,keyasint,omitempty" json:"silent_ms"` // since its latest answer, if there was one
}

// Disk is the state of a control member's log on disk.
type Disk struct {
	Sequence   uint64 `cbor:"1,keyasint" json:"sequence"` // of the last durable record
	Segment    int    `cbor:"2,keyasint" json:"segment"`
	Generation uint64 `cbor:"3,keyasint" json:"generation"` // segments written before the current one
	UsedBytes  int64  `cbor:"4,keyasint" json:"used_bytes"` // of the current segment
	FreeBytes  int64  `cbor:"5,keyasint" json:"free_bytes"` // in the current segment
}

// LogRequest asks a process for the log lines that it holds in memory.
type LogRequest struct{}

// LogResponse holds the log lines, oldest first.
type LogResponse struct {
	Text []byte `cbor:"1,keyasint,omitempty"`
}
