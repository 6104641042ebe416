package reconfigure

// Hold says why a member that was told to end has to go on for now.
type Hold uint8

// The reasons.
const (
	// HoldNone: it may end.
	HoldNone Hold = iota
	// HoldChange: a change of the membership is under way.
	HoldChange
	// HoldReplacement: a machine that lives is about to take its place.
	HoldReplacement
	// HoldMajority: without it no majority of the voters lives, stays and holds all that is committed.
	HoldMajority
)

// String says what the member waits for.
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
