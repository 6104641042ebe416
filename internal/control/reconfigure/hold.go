package reconfigure

// Hold is the reason why a member that is shutting down must keep running for now.
type Hold uint8

const (
	// HoldNone means that the member can stop.
	HoldNone Hold = iota
	// HoldChange means that a membership change is pending.
	HoldChange
	// HoldReplacement means that a live machine is about to replace the member.
	HoldReplacement
	// HoldMajority means that without the member less than a majority of the voters is alive, not leaving and up to date with
	// the commit index.
	HoldMajority
)

// String describes what the member waits for.
func (h Hold) String() string {
	switch h {
	case HoldNone:
		return "nothing"
	case HoldChange:
		return "a change of the membership to be committed"
	case HoldReplacement:
		return "a machine that is about to take its place"
	case HoldMajority:
		return "another voter to be back, to catch up or to be replaced: without this one no majority would be left"
	}
	return "unknown"
}
