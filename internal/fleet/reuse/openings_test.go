package reuse

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"

	"sumacloft/internal/decide/reuse"
)

// Bytes are kept of what several sessions share, and only so many of them.
func TestOpeningsAreBounded(t *testing.T) {
	o := NewOpenings()
	if o.Saw(1, 7, 2, "m", []byte("one")) || o.Saw(1, 7, 2, "m", []byte("one")) {
		t.Error("one session alone counts as several")
	}
	if _, kept := o.Get(1); kept {
		t.Error("bytes of one session alone are kept")
	}
	if !o.Saw(1, 8, 2, "m", []byte("one")) {
		t.Error("two sessions do not count")
	}
	if got, kept := o.Get(1); !kept || string(got.First) != "one" || got.Model != "m" {
		t.Errorf("%v %v", got, kept)
	}
	long := bytes.Repeat([]byte("x"), maxLength)
	for i := range 3 * maxKept / maxLength {
		o.Saw(reuse.Key(100+i), 1, 1, "m", long)
	}
	if o.bytes > maxKept || o.bytes < maxKept/2 {
		t.Errorf("%d bytes are kept", o.bytes)
	}
	o.Saw(5, 1, 1, "m", append(long, 'x'))
	if _, kept := o.Get(5); kept {
		t.Error("an opening beyond the bound is kept")
	}
	for i := range 3 * maxKnown {
		o.Saw(reuse.Key(10_000+i), 1, 2, "m", []byte("a scan"))
	}
	if o.known.Len() > maxKnown {
		t.Errorf("%d are known", o.known.Len())
	}
	o.Forget()
	if o.bytes != 0 || o.known.Len() != 0 {
		t.Error("it is not forgotten")
	}
}

// An answer tells whether the prompt was kept, where it says anything of it.
func TestMissed(t *testing.T) {
	for text, want := range map[string]bool{
		`{"usage":{"prompt_tokens_details":{"cached_tokens":0}}}`:   true,
		`{"usage":{"prompt_tokens_details":{"cached_tokens":128}}}`: false,
		`{"usage":{"prompt_tokens_details":{}}}`:                    false,
		`{"usage":null}`:                                            false, `{}`: false, `nothing`: false,
	} {
		if missed([]byte(text)) != want {
			t.Errorf("%s: %v", text, !want)
		}
	}
}

// What a region is to hold of its own is read by nobody; what is not known any more is named.
func TestWarmerReadsNoRegionsOwn(t *testing.T) {
	w := &Warmer{Openings: NewOpenings(), Read: func(context.Context, string, Opening) error { t.Error("it was read"); return nil }}
	own, other := reuse.Copy{ID: 1, Prefix: 7, To: "b", Server: "s"}, reuse.Copy{ID: 2, Prefix: 7, From: "a", To: "b", Server: "s"}
	if w.Region(own) != "b" || !w.Has(own) || w.Copy(t.Context(), own) != nil {
		t.Error("a region's own is not taken as there")
	}
	var unknown *UnknownError
	if w.Region(other) != "a" || w.Has(other) || !errors.As(w.Copy(t.Context(), other), &unknown) || unknown.Copy != 2 || unknown.Server != "s" {
		t.Errorf("%+v", unknown)
	}
}

// A server is read to while it has fewer requests than the bound, over all routers.
func TestMayWarm(t *testing.T) {
	m := reuse.Model{}.WithDefaults()
	for _, c := range []struct {
		own    int
		others []reuse.Busy
		fault  reuse.Fault
		want   bool
	}{{0, nil, "", true}, {1, nil, "", true}, {2, nil, "", false}, {0, []reuse.Busy{{"s": 1}, {"t": 9}}, "", true}, {0, []reuse.Busy{{"s": 1}, {"s": 1}}, "", false},
		{5, nil, reuse.WarmsBusy, true}} {
		if got := m.MayWarm("s", c.own, c.others, c.fault); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
	b := reuse.Busy{}
	for i := range 100 {
		b[fmt.Sprint("s", i)] = i
	}
	if most := b.Busiest(); len(most) != reuse.MaxBusy || most["s99"] != 99 || most["s68"] != 68 {
		t.Errorf("%v", most)
	}
}

// Each order has its routers in an order of its own, which all of them agree on.
func TestTurns(t *testing.T) {
	routers := []string{"a", "b", "c"}
	first := map[string]int{}
	for id := range int64(300) {
		seen := map[int]bool{}
		for _, me := range routers {
			n := reuse.Copy{ID: id}.Rank(me, routers)
			seen[n] = true
			if n == 0 {
				first[me]++
			}
		}
		if len(seen) != 3 {
			t.Fatalf("order %d: places %v", id, seen)
		}
	}
	for _, me := range routers {
		if first[me] < 60 {
			t.Errorf("%s is first %d times of 300", me, first[me])
		}
	}
}
