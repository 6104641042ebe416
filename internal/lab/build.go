package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

func (f *Fleet) link(target string, err *error) *Link {
	if *err != nil {
		return nil
	}
	l, e := NewLink(f.host, target)
	if *err = e; e == nil {
		f.links = append(f.links, l)
	}
	return l
}

func (f *Fleet) build() error {
	var err error
	for i := range f.o.Daemons {
		name := fmt.Sprintf("d%d", i+1)
		d := &Daemon{Name: name, Listen: f.host.Port(), Raft: f.host.Port(), Client: f.host.Port(),
			file: filepath.Join(f.o.Dir, name+".toml"), dir: filepath.Join(f.o.Dir, name)}
		quick := grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.5, MaxDelay: 200 * time.Millisecond}}
		if d.conn, err = grpc.NewClient("passthrough:///"+d.Client, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithConnectParams(quick)); err != nil {
			return err
		}
		f.Daemons = append(f.Daemons, d)
	}
	var backs []string
	backs = append(backs, f.o.Addrs...)
	for range f.o.Servers - len(f.o.Addrs) {
		l, err := f.host.Listen()
		if err != nil {
			return err
		}
		s := &http.Server{Handler: f.o.Answers}
		if s.Handler == nil {
			s.Handler = http.HandlerFunc(plain)
		}
		f.servers = append(f.servers, s)
		backs = append(backs, l.Addr().String())
		go func() { _ = s.Serve(l) }() // until Close
	}
	for _, from := range f.Daemons {
		f.fronts[from.Name], f.desks[from.Name] = f.link(from.Listen, &err), f.link(from.Client, &err)
		for _, to := range f.Daemons {
			if from != to {
				f.store[[2]string{from.Name, to.Name}] = [2]*Link{f.link(to.Raft, &err), f.link(to.Client, &err)}
			}
		}
		for i, addr := range backs {
			f.back[[2]string{from.Name, serverName(i)}] = f.link(addr, &err)
		}
	}
	if err != nil {
		return err
	}
	for _, d := range f.Daemons {
		if err := os.WriteFile(d.file, []byte(f.text(d)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func makeDir(path string) error { return os.MkdirAll(path, 0o700) }

func serverName(i int) string { return fmt.Sprintf("s%d", i+1) }

func plain(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/health" {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(w, `{"object":"chat.completion"}`)
	}
}

// ends are the store's members as a daemon without one reaches them.
func (f *Fleet) ends(d *Daemon) (ends []string) {
	for i, o := range f.Daemons {
		if f.o.member(i) {
			ends = append(ends, f.store[[2]string{d.Name, o.Name}][1].Addr())
		}
	}
	return ends
}

// text is a daemon's file.
func (f *Fleet) text(d *Daemon) string {
	var b strings.Builder
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	p("name = %q\nlisten = %q\n[limits]\ncores = 1\nmemory_mb = 192\nsockets = 4096", d.Name, d.Listen)
	at := slices.Index(f.Daemons, d)
	p("[chat]")
	if len(f.o.Sites) > 0 {
		p("zone = %q\nzones = [\"%s\"]", f.o.site(at, f.o.Daemons), strings.Join(f.o.Sites, "\", \""))
	}
	p("%s", cmp.Or(f.o.Classes, "[[chat.class]]\nname = \"query\"\nmodels = [\"query\"]\neffect = \"safe\"\ndeadline_ms = 2000"))
	for i := range f.o.Servers {
		p("[[chat.server]]\nid = %q\naddr = %q\nzone = %q", serverName(i), f.back[[2]string{d.Name, serverName(i)}].Addr(), f.o.site(i, f.o.Servers))
	}
	p("[members]\nprefix = %q", memberPrefix(d))
	if f.o.Watched && !f.o.member(at) {
		p("endpoints = [\"%s\"]", strings.Join(f.ends(d), "\", \""))
	}
	policy := fmt.Sprintf("[policy]\nlease_s = %d\non_lapse = %q\nheader = true\n%s\n%s", f.o.LeaseS, f.o.OnLapse, f.o.Policy, f.o.File)
	if !f.o.member(at) {
		ends := f.ends(d)
		p("[store]\ndir = %q\n%s", d.dir, strings.Replace(policy, "[policy]", fmt.Sprintf("[policy]\nname = %q\nendpoints = [\"%s\"]", d.Name, strings.Join(ends, "\", \"")), 1))
		return b.String()
	}
	p("[store]\nid = %q\ndir = %q\nheartbeat_ms = 200", d.Name, d.dir)
	if !f.o.Calm {
		p("snapshot_entries = 60\nsnapshot_ms = 400")
	}
	for i, o := range f.Daemons {
		if !f.o.member(i) {
			continue
		}
		raft, client := o.Raft, o.Client
		if o != d {
			links := f.store[[2]string{d.Name, o.Name}]
			raft, client = links[0].Addr(), links[1].Addr()
		}
		p("[[store.peer]]\nid = %q\nraft = %q\nclient = %q", o.Name, raft, client)
	}
	p("%s", policy)
	return b.String()
}

// Build builds the programs that a laboratory needs into a folder, as the repository at root has them; tags may name a
// build that breaks rules on purpose, and flags say more to the compiler.
func Build(ctx context.Context, root, dir, tags string, flags ...string) error {
	args := append([]string{"build", "-tags", tags, "-o", dir + string(os.PathSeparator)}, flags...)
	cmd := exec.CommandContext(ctx, "go", append(args, "./cmd/sumacloft", "./cmd/sumactl", "./cmd/sumalab")...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return errors.Join(err, errors.New(string(out)))
	}
	return nil
}
