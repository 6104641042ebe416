package fleettest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestServiceRestsBrieflyAfterAllPowerIsLost has all machines lose power and come back at the same time: edges serve by what
// a majority of the disks knows, before any leader is elected.
func TestServiceRestsBrieflyAfterAllPowerIsLost(t *testing.T) {
	t.Parallel()
	for _, controls := range []int{3, 5} {
		runAlone(t, Plan{Controls: controls}, func(c *qt.C, f *Fleet) {
			f.NewWorker(Plain, "", Behaviour{})
			f.Serve()
			f.Operator.Acknowledge(1, Document(2, "new"))
			f.PowerOff()
			time.Sleep(time.Second)
			f.PowerOn()
			back := f.Now()
			f.Until(recovery, "an answer", func() bool { return serves(f, f.Edges[0], HarmlessPath+"x") })
			answered := f.Now() - back
			f.Until(recovery, "the newest configuration in force", func() bool { return serves(f, f.Edges[0], "/new/x") })
			c.Logf("%d members: answered after %v, by the newest configuration after %v", controls, answered, f.Now()-back)
			c.Assert(answered < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", answered))
		})
	}
}
