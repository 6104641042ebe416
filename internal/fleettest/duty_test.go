package fleettest

import (
	"cmp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/boot"
)

// ordersOf are the orders that reached any worker, in their order.
func ordersOf(f *Fleet) []Call {
	var orders []Call
	for _, worker := range f.Workers() {
		for _, call := range worker.Calls() {
			if call.Kind == Order {
				orders = append(orders, call)
			}
		}
	}
	slices.SortStableFunc(orders, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
	return orders
}

// writers counts the workers in the writing phase.
func writers(f *Fleet) int {
	n := 0
	for _, worker := range f.Workers() {
		if worker.Phase() == Writing {
			n++
		}
	}
	return n
}

// keepsLease checks that orders of two holders are at least a lease apart, and that fences rise with the holders.
func keepsLease(c *qt.C, orders []Call) (holders int) {
	for i, order := range orders {
		if i == 0 {
			holders = 1
			continue
		}
		before := orders[i-1]
		if order.Owner == before.Owner {
			c.Assert(order.Fence >= before.Fence, qt.IsTrue)
			continue
		}
		holders++
		c.Assert(order.Fence > before.Fence, qt.IsTrue, qt.Commentf("%+v after %+v", order, before))
		c.Assert(order.At-before.At >= boot.DefaultLease, qt.IsTrue, qt.Commentf("%+v after %+v", order, before))
	}
	return holders
}

// load has all writers report so many running requests, while readers have nothing to do.
func load(f *Fleet, working int) {
	for _, worker := range f.Workers() {
		worker.Behave(Behaviour{Working: working})
	}
}

func TestPhasesFollowTheLoadUnderOneLease(t *testing.T) {
	// The holder of the duty is lost after its first order, in one way or another.
	losses := map[string]struct {
		lose, back func(f *Fleet, holder *Control)
	}{
		"cut off": {
			lose: func(f *Fleet, holder *Control) { f.Cut(holder) },
			back: func(f *Fleet, holder *Control) { f.Heal(holder) },
		},
		"killed": {
			lose: func(_ *Fleet, holder *Control) { holder.Kill() },
			back: func(_ *Fleet, holder *Control) { holder.Start(false) },
		},
		"ended in good order": {
			lose: func(_ *Fleet, holder *Control) { holder.Stop() },
			back: func(_ *Fleet, holder *Control) { holder.Start(false) },
		},
	}
	for name, loss := range losses {
		t.Run(name, func(t *testing.T) {
			Run(t, Plan{}, func(c *qt.C, f *Fleet) {
				// Given workers that all read, so that some have to become writers.
				for range 6 {
					f.NewWorker(Model, Reading, Behaviour{})
				}
				f.Serve()
				wanted, working := 3, 0 // of 16 places each
				for range 2 {
					seen := len(ordersOf(f))
					f.Until(30*time.Second, "an order", func() bool { return len(ordersOf(f)) > seen })
					orders := ordersOf(f)
					// When the member that sent the order is lost, while more are due.
					holder := f.member(orders[len(orders)-1].Owner)
					loss.lose(f, holder)
					// Then another one goes on with the duty.
					f.Until(30*time.Second, "the writers wanted", func() bool { return writers(f) == wanted })
					loss.back(f, holder)
					time.Sleep(5 * time.Second)
					wanted, working = 5, 16
					load(f, working)
				}
				f.Until(30*time.Second, "the writers wanted", func() bool { return writers(f) == wanted })
				// And no two holders' orders are closer than the lease, and fences rise.
				c.Assert(keepsLease(c, ordersOf(f)) > 1, qt.IsTrue, qt.Commentf("%+v", ordersOf(f)))
			})
		})
	}
}

// A worker that has seen a higher fence gets no more orders under the one that it refused.
func TestRefusedFenceIsNotUsedAgain(t *testing.T) {
	Run(t, Plan{}, func(c *qt.C, f *Fleet) {
		// Given workers that all read, so that some have to become writers, and that another has ordered under a higher fence.
		for range 6 {
			f.NewWorker(Model, Reading, Behaviour{}).SeeFence(1 << 40)
		}
		f.Serve()
		// When the duty gives its first orders.
		f.Until(30*time.Second, "an order", func() bool { return len(ordersOf(f)) > 0 })
		time.Sleep(orderSettles)
		first := len(ordersOf(f))
		time.Sleep(30 * time.Second)
		// Then none follows.
		c.Assert(len(ordersOf(f)), qt.Equals, first)
	})
}

// orderSettles is the time in which orders that were given together have all been answered.
const orderSettles = 900 * time.Millisecond

// member is the control member of a name.
func (f *Fleet) member(node string) *Control {
	for _, control := range f.Controls {
		if control.Node == node {
			return control
		}
	}
	f.t.Fatalf("no control member %s", node)
	return nil
}
