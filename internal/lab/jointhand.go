package lab

import (
	"context"
	"slices"
	"syscall"
	"time"

	"sumacloft/internal/discovery"
)

// byHand is the day without the tables. A script takes two servers at a time, of different sites, out of the lists, replaces
// them a second later and puts them back once they are warm; it knows of no loss and looks at no answer. That weights are
// bad is noticed once it has come to its end, and it takes them back in the same way.
func (d *jointDay) byHand() []part {
	order := []int{0, 3, 6, 1, 4, 7, 2, 5, 8}
	all := func(list []int, program string) error {
		for pair := range slices.Chunk(list, 2) {
			if err := d.swap(pair, jointLabel(program, 2)); err != nil {
				return err
			}
		}
		return nil
	}
	swaps := func(name string, list []int, program string) part {
		return part{name, func() error { return all(list, program) }}
	}
	return slices.Concat([]part{
		{"all up", d.rest},
		swaps("new weights", order, "p1"),
		{"two die", d.dies},
		swaps("new program", order[:4], "p2"),
	}, d.siteGone(func() error { return all(order[4:6], "p2") }), []part{
		swaps("the rest of the servers", order[4:], "p2"),
		{"the routers", d.routersByHand},
		swaps("a bad program", order, "p3"),
		swaps("it is taken back", order, "p2"),
		{"evening", d.rest},
	})
}

func (d *jointDay) routersByHand() error {
	for _, one := range d.Daemons {
		one.Terminate()
		one.wait()
		if err := relabel(one.file, "v2"); err != nil {
			return err
		}
		if err := d.Start(one); err != nil {
			return err
		}
		if err := d.Ready(d.ctx, within); err != nil {
			return err
		}
	}
	return nil
}

// swap replaces some servers; what is in a lost site can't be reached.
func (d *jointDay) swap(list []int, label string) error {
	_, away := d.parts(d.lostSite())
	list = slices.DeleteFunc(slices.Clone(list), func(i int) bool { return slices.Contains(away, d.servers[i]) })
	if err := d.drained(list, true); err != nil {
		return err
	}
	if err := d.pauses(time.Second); err != nil {
		return err
	}
	for _, i := range list {
		d.servers[i].end(syscall.SIGTERM)
		d.Serve(d.ctx, i, label)
		d.mu.Lock()
		d.replaced++
		d.mu.Unlock()
	}
	if err := d.pauses(700 * time.Millisecond); err != nil { // as the plan's warm_ms
		return err
	}
	return d.drained(list, false)
}

func (d *jointDay) lostSite() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.OutageFleet.gone[d.site] {
		return d.site
	}
	return ""
}

func (d *jointDay) pauses(t time.Duration) error {
	select {
	case <-d.ctx.Done():
		return d.ctx.Err()
	case <-time.After(t):
		return nil
	}
}

// drained writes into every router's list that servers drain, or are ready.
func (d *jointDay) drained(list []int, is bool) error {
	ctx, done := context.WithTimeout(d.ctx, within)
	defer done()
	phase := "SERVING"
	if is {
		phase = "DRAINING"
	}
	servers := make([]string, 0, len(list))
	for _, i := range list {
		servers = append(servers, serverName(i))
	}
	return answered(ctx, func() error {
		return d.amend(ctx, servers, func(m *discovery.Member) { m.Phase = phase })
	})
}
