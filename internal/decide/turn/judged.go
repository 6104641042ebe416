package turn

import "fmt"

// VerdictCounts counts decisions by what was observed afterwards. A decision is open until it is known to be right or wrong. It is
// void if the question no longer arises, for example because the server was lost. The counts are part of stored states, so
// they are kept small. A program that does not know them may drop them; decisions that were open then are never settled,
// which Settle tolerates.
type VerdictCounts struct {
	Open  int64 `json:"open"`
	Right int64 `json:"right"`
	Wrong int64 `json:"wrong"`
	Void  int64 `json:"void,omitempty"`
}

// Verdict is the result of a decision in hindsight.
type Verdict string

// Verdicts. The empty one means that there is none yet.
const (
	Right Verdict = "right"
	Wrong Verdict = "wrong"
	Void  Verdict = "void"
)

// Begin counts a new open decision.
func (c *VerdictCounts) Begin() { c.Open++ }

// Settle counts the verdict on an open decision. Without a verdict the decision stays open. It does nothing if no decision is
// open, since the count under which the decision was opened may have been lost.
func (c *VerdictCounts) Settle(v Verdict) {
	if c.Open == 0 {
		return
	}
	switch v {
	case Right:
		c.Right++
	case Wrong:
		c.Wrong++
	case Void:
		c.Void++
	default:
		return
	}
	c.Open--
}

// Settled returns the number of settled decisions.
func (c VerdictCounts) Settled() int64 { return c.Right + c.Wrong + c.Void }

// CheckAgainst reports what is inconsistent with an earlier count, or "" if nothing is. Settled decisions stay settled, and no
// count is negative.
func (c VerdictCounts) CheckAgainst(earlier VerdictCounts) string {
	switch {
	case c.Open < 0:
		return fmt.Sprintf("number of open decisions is %d", c.Open)
	case c.Right < earlier.Right || c.Wrong < earlier.Wrong || c.Void < earlier.Void:
		return fmt.Sprintf("%v after %v: settled decisions decreased", c, earlier)
	case c.Open+c.Settled() < earlier.Open+earlier.Settled():
		return fmt.Sprintf("%v after %v: decisions are missing", c, earlier)
	}
	return ""
}

func (c VerdictCounts) String() string {
	text := fmt.Sprintf("right %d, wrong %d, open %d", c.Right, c.Wrong, c.Open)
	if c.Void > 0 {
		text += fmt.Sprintf(", void %d", c.Void)
	}
	return text
}
