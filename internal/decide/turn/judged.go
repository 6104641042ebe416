package turn

import "fmt"

// VerdictCounts counts decisions by what was seen after them. One is open until it is known to have been right or wrong; one whose
// question fell away (a server was lost, a list forgot it) is void. It stands in states, so it is as small as it can be, and a
// program that does not know it may leave it out: what was open then is not settled, which Settle bears.
type VerdictCounts struct {
	Open  int64 `json:"open"`
	Right int64 `json:"right"`
	Wrong int64 `json:"wrong"`
	Void  int64 `json:"void,omitempty"`
}

// Verdict is what a decision turned out to be.
type Verdict string

// The verdicts. The empty one is none yet.
const (
	Right Verdict = "right"
	Wrong Verdict = "wrong"
	Void  Verdict = "void"
)

// Begin counts a decision that is open.
func (c *VerdictCounts) Begin() { c.Open++ }

// Settle counts what an open decision turned out to be; without a verdict it stays open. What was opened under a count that is
// lost is not settled.
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

// Settled is how many decisions were settled.
func (c VerdictCounts) Settled() int64 { return c.Right + c.Wrong + c.Void }

// CheckAgainst tells what is wrong with a count after an earlier one; "": nothing. What was settled stays so, and none is below 0.
func (c VerdictCounts) CheckAgainst(earlier VerdictCounts) string {
	switch {
	case c.Open < 0:
		return fmt.Sprintf("%d decisions are open", c.Open)
	case c.Right < earlier.Right || c.Wrong < earlier.Wrong || c.Void < earlier.Void:
		return fmt.Sprintf("%v after %v: what was settled is not any more", c, earlier)
	case c.Open+c.Settled() < earlier.Open+earlier.Settled():
		return fmt.Sprintf("%v after %v: decisions are gone", c, earlier)
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
