package main

import (
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"sumacloft/internal/status"
)

// columnGap is the blanks between columns.
const columnGap = 2

// table writes rows in columns.
type table struct {
	text    strings.Builder
	columns *tabwriter.Writer
}

func newTable(heads ...string) *table {
	t := &table{}
	t.columns = tabwriter.NewWriter(&t.text, 0, 0, columnGap, ' ', 0)
	t.row(heads...)
	return t
}

func (t *table) row(cells ...string) {
	_, _ = fmt.Fprintln(t.columns, strings.Join(cells, "\t")) // it is written to memory
}

func (t *table) String() string {
	_ = t.columns.Flush() // likewise
	return t.text.String()
}

// reportText is a report for people.
func reportText(report *status.Report) string {
	if report.Kind == status.KindProxy {
		return proxyText(report)
	}
	parts := []string{headText(report)}
	if len(report.Partitions) > 0 {
		names := namesOf(report.Controls)
		parts = append(parts, partitionsText(report.Partitions, names), membersText(report.Partitions, names))
	}
	if len(report.Balances) > 0 {
		parts = append(parts, balancesText(report.Balances))
	}
	parts = append(parts, controlsText(report.Controls), routersText(report.Routers), workersText(report.Workers))
	return strings.Join(parts, "\n") + callsText(report.Calls) + trafficText(report.Traffic)
}

// titleText says which process reports.
func titleText(report *status.Report, kind string) string {
	up := time.Duration(report.UpMS) * time.Millisecond
	return fmt.Sprintf("%s: %s in zone %s, up %v\n", report.Node, kind, report.Zone, up)
}

func headText(report *status.Report) string {
	kind := "control member"
	if report.Kind == status.KindAgent {
		kind = "agent"
	}
	text := titleText(report, kind) + configurationText(report.Configuration)
	if disk := report.Disk; disk != nil {
		text += fmt.Sprintf("disk log: record %d, segment %d of generation %d, %d bytes used, %d free\n",
			disk.Sequence, disk.Segment, disk.Generation, disk.UsedBytes, disk.FreeBytes)
	}
	return text + linkText(report.Link) + ordersText(report.Orders) + endingText(report.Ending)
}

func configurationText(configuration status.Configuration) string {
	if configuration.Index == 0 {
		return "configuration: none yet; send one to Settings.Replace\n"
	}
	return fmt.Sprintf("configuration: version %d, set at index %d\n", configuration.Version, configuration.Index)
}

// names are machines by their inside addresses.
type names map[string]string

func namesOf(peers []status.Peer) names {
	named := names{}
	for _, peer := range peers {
		named[peer.Address] = peer.Node
	}
	return named
}

// machine is the machine at an address, or the address itself where no machine is known there.
func (n names) machine(address string) string {
	if name, known := n[address]; known {
		return name
	}
	return orDash(address)
}

func partitionsText(partitions []status.Partition, named names) string {
	t := newTable("PARTITION", "ROLE", "TERM", "LEADER", "COMMIT", "APPLIED", "LAST", "ON DISK", "SNAPSHOT", "DISK")
	for _, partition := range partitions {
		disk := "ok"
		if partition.DiskFailed {
			disk = "refuses writes"
		}
		t.row(partition.Name, partition.Role, decimal(partition.Term), named.machine(partition.Leader), decimal(partition.Commit),
			decimal(partition.Applied), decimal(partition.Last), decimal(partition.Stable), decimal(partition.Snapshot), disk)
	}
	return t.String()
}

func membersText(partitions []status.Partition, named names) string {
	t := newTable("PARTITION", "MEMBER", "ADDRESS", "KIND", "PROGRESS", "MATCH", "LAST CONTACT")
	for _, partition := range partitions {
		for _, member := range partition.Members {
			kind := "learner"
			if member.Voter {
				kind = "voter"
			}
			if partition.Pending {
				kind += " (pending)"
			}
			progress, match, contact := progressText(member)
			t.row(partition.Name, named.machine(member.Address), orDash(member.Address), kind, progress, match, contact)
		}
	}
	return t.String()
}

// progressText is what the leader knows of a member.
func progressText(member status.Member) (state, match, contact string) {
	seen := member.Progress
	switch {
	case member.Self:
		return "this one", "-", "-"
	case seen == nil:
		return "-", "-", "-"
	case !seen.Responded:
		return seen.State, decimal(seen.Match), "never"
	}
	return seen.State, decimal(seen.Match), fmt.Sprintf("%v ago", time.Duration(seen.SilentMS)*time.Millisecond)
}

func controlsText(peers []status.Peer) string {
	t := newTable("CONTROL MEMBER", "STATE", "ZONE", "INSIDE ADDRESS", "STEERING")
	for _, peer := range peers {
		t.row(peer.Node, stateText(peer), orDash(peer.Zone), orDash(peer.Address), orDash(peer.Steering))
	}
	return t.String()
}

func routersText(peers []status.Peer) string {
	t := newTable("EDGE ROUTER", "STATE", "ZONE", "INSIDE ADDRESS")
	for _, peer := range peers {
		t.row(peer.Node, stateText(peer), orDash(peer.Zone), orDash(peer.Address))
	}
	return t.String()
}

func stateText(peer status.Peer) string {
	if peer.Down {
		return "down"
	}
	return "up"
}

func workersText(workers []status.Workers) string {
	t := newTable("SERVICE", "PHASE", "UP", "LEAVING", "LAPSED", "GONE")
	for _, kind := range workers {
		t.row(orDash(kind.Service), orDash(kind.Phase), strconv.Itoa(kind.Up), strconv.Itoa(kind.Leaving),
			strconv.Itoa(kind.Lapsed), strconv.Itoa(kind.Gone))
	}
	return t.String()
}

// proxyText is what a proxy has decided.
func proxyText(report *status.Report) string {
	t := newTable("SERVICE", "DECISION", "COUNT", "WHY")
	for _, decision := range report.Decisions {
		t.row(decision.Service, decision.Kind, decimal(decision.Count), decision.Why)
	}
	return titleText(report, "proxy") + linkText(report.Link) + connectionsText(report.Connections) + "\n" + t.String() + trafficText(report.Traffic)
}

// balancesText is what the balances of phases saw last, and what they want.
func balancesText(balances []status.Balance) string {
	t := newTable("PHASES OF", "READERS", "WRITERS", "READ PRESSURE", "WRITE PRESSURE", "READS QUEUED", "WRITERS WANTED", "ORDERS", "WHY")
	for _, seen := range balances {
		t.row(seen.Service, strconv.Itoa(seen.Readers), strconv.Itoa(seen.Writers), hundredths(seen.ReadPressure),
			hundredths(seen.WritePressure), strconv.Itoa(seen.ReadsQueued), strconv.Itoa(seen.Target), strconv.Itoa(seen.Orders), seen.Reason)
	}
	return t.String()
}

func hundredths(number float64) string { return strconv.FormatFloat(number, 'f', 2, 64) }

func decimal(number uint64) string { return strconv.FormatUint(number, 10) }
