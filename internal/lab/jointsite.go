package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/decide/outage"
	"sumacloft/internal/decide/reuse"
	"sumacloft/internal/decide/sites"
	"sumacloft/internal/discovery"
	fleetsamples "sumacloft/internal/fleet/samples"
)

// siteGone is the loss of a site and its return, the same in both kinds of day: each goes on meanwhile in its own way.
func (d *jointDay) siteGone(meanwhile func() error) []part {
	return []part{
		{"a site is lost", func() error {
			d.lose()
			if err := meanwhile(); err != nil {
				return err
			}
			if err := d.verdict(sites.Lost); err != nil {
				return err
			}
			return d.rest()
		}},
		{"it returns", func() error {
			if err := d.back(); err != nil {
				return err
			}
			return d.verdict(sites.Up)
		}},
	}
}

// dies has a server and a router end without a word. The server starts again at once, as who watches over processes has it, the
// router once the others know. With the tables the server holds copies, which are gone, and the router has reported samples that
// are not counted yet: their records stand too, and are found by the others.
func (d *jointDay) dies() error {
	server, router := int(d.o.Seed)%len(d.servers), d.Daemons[int(d.o.Seed)%len(d.Daemons)]
	if d.tables != nil {
		if err := d.eventually("a server that serves and holds copies", func() (is bool) { server, is = d.holder(); return is }); err != nil {
			return err
		}
	}
	label, err := d.recorded(server)
	if err != nil {
		return err
	}
	d.servers[server].kill()
	d.Serve(d.ctx, server, label)
	if d.tables != nil {
		if err := d.eventually("a router with samples that are reported and not counted", func() (is bool) { router, is = d.reporter(); return is }); err != nil {
			return err
		}
	}
	d.load.gone(router.Name, true)
	router.Kill()
	d.say("%s and %s died", serverName(server), router.Name)
	if err := d.rest(); err != nil {
		return err
	}
	if err := d.Start(router); err != nil {
		return err
	}
	d.load.gone(router.Name, false)
	return d.Ready(d.ctx, within)
}

func (d *jointDay) eventually(what string, is func() bool) error {
	if !until(d.ctx, d.within(), func() bool { time.Sleep(20 * time.Millisecond); return is() }) {
		return &NotSeenError{what, ""}
	}
	return nil
}

// reporter is a router whose report has samples that the board has not counted.
func (d *jointDay) reporter() (*Daemon, bool) {
	ctx, done := context.WithTimeout(d.ctx, time.Second)
	defer done()
	all, _, err := fleetsamples.NewStore(d.kv).ReadAllWith(ctx)
	if err != nil || all.State == nil {
		return nil, false
	}
	for _, one := range d.Daemons {
		for _, r := range all.Reports {
			n, seq := int64(len(r.Value.Samples)), all.State.Watermarks[one.Name+" "+r.Value.Boot].Seq
			if r.Value.Router == one.Name && n > 0 && r.Value.First+n-1 > seq {
				return one, true
			}
		}
	}
	return nil, false
}

// holder is the server with the most copies of those that are not let out.
func (d *jointDay) holder() (i int, holds bool) {
	s, copies := d.State(d.ctx), d.tables.f.copies.Copies(d.ctx)
	if s == nil || copies == nil {
		return 0, false
	}
	n, most := map[string]int{}, 0
	for _, c := range copies.Copies {
		if _, out := s.Permits[outage.ID(outage.Server, c.Server)]; out || c.Phase != reuse.Present {
			continue
		}
		if n[c.Server]++; n[c.Server] > most {
			i, most = d.place(c.Server), n[c.Server]
		}
	}
	return i, most > 0
}

// lose ends the site's processes; whoever replaces programs can do nothing there either.
func (d *jointDay) lose() {
	d.mu.Lock()
	d.OutageFleet.gone[d.site] = true
	d.mu.Unlock()
	daemons, _ := d.parts(d.site)
	for _, one := range daemons {
		d.load.gone(one.Name, true)
	}
	d.Lose(d.site, true)
}

// back starts them again, as they were.
func (d *jointDay) back() error {
	daemons, _ := d.parts(d.site)
	for _, one := range daemons {
		if err := d.Start(one); err != nil {
			return err
		}
		d.load.gone(one.Name, false)
	}
	d.mu.Lock()
	delete(d.OutageFleet.gone, d.site)
	d.mu.Unlock()
	if !until(d.ctx, within, d.revived) {
		return &NotSeenError{"the servers of site " + d.site + " run again", ""}
	}
	return d.Ready(d.ctx, within)
}

// revived starts the site's servers with the labels that their records have; false: not all of them yet, as while the store
// finds a leader. What is out under a permit is the deployer's.
func (d *jointDay) revived() bool {
	_, servers := d.parts(d.site)
	s := d.State(d.ctx)
	if s == nil && d.tables != nil {
		return false
	}
	for i, sv := range d.servers {
		if sv.running() || !slices.Contains(servers, sv) {
			continue
		}
		if s != nil {
			if p, out := s.Permits[outage.ID(outage.Server, serverName(i))]; out && p.For != outage.ByHand {
				continue
			}
		}
		label, err := d.recorded(i)
		if err != nil {
			return false
		}
		d.Serve(d.ctx, i, label)
	}
	return true
}

// recorded is the label of a server's record.
func (d *jointDay) recorded(i int) (string, error) {
	ctx, done := context.WithTimeout(d.ctx, time.Second)
	defer done()
	r, err := d.kv.Range(ctx, &pb.RangeRequest{Key: []byte(memberKey(d.Daemons[0], serverName(i)))})
	if err != nil {
		return "", err
	}
	var m discovery.Member
	if len(r.Kvs) > 0 {
		err = json.Unmarshal(r.Kvs[0].Value, &m)
	}
	return m.Label, err
}

// verdict waits for what the fleet says of the site.
func (d *jointDay) verdict(want sites.State) error {
	var last sites.Verdict
	if until(d.ctx, within, func() bool {
		time.Sleep(20 * time.Millisecond)
		if p := d.Posture(d.ctx).Last; p != nil {
			last = p.Sites[d.site]
		}
		return last.State == want
	}) {
		return nil
	}
	return &NotSeenError{fmt.Sprintf("site %s is %s", d.site, want), fmt.Sprintf("%+v", last)}
}
