package reconfigure

// Hold says why a member that was told to end has to go on for now.
type Hold uint8

// The reasons.
const (
	// Free: it may end.
	Free Hold = iota
	// HoldChange: a change of the membership is under way.
	HoldChange
	// HoldPlace: a machine that lives is about to take its place.
	HoldPlace
	// HoldMajority: without it no majority of the voters lives, stays and holds all that is committed.
	HoldMajority
)

// String says what the member waits for.
func (h Hold) String() string {
	switch h {
	case Free:
		return "nothing"
	case HoldChange:
		return "a change of the membership to be committed"
	case HoldPlace:
		return "a machine that is about to take its place"
	case HoldMajority:
		return "another voter to be back, to catch up or to be replaced: without this one no majority would be left"
	}
	return "unknown"
}
