package chat

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sumacloft/brain"
	"sumacloft/internal/config"
	"sumacloft/internal/core"
	"sumacloft/internal/standin"
	"sumacloft/internal/upstream"
)

// shut is an error of a gate that gives no terms.
type shut struct{}

func (shut) Error() string             { return "shut" }
func (shut) RetryAfter() time.Duration { return 1500 * time.Millisecond }

// door is a gate that a test opens and shuts.
type door struct{ terms atomic.Pointer[Terms] }

func (d *door) Take(context.Context) (*Terms, error) {
	if t := d.terms.Load(); t != nil {
		return t, nil
	}
	return nil, shut{}
}

func (d *door) Ready() error {
	_, err := d.Take(context.Background())
	return err
}

func (d *door) Last() *Terms { return d.terms.Load() }

// A front takes up new terms without a restart: each answer names the version that it was decided under, a request
// under way ends under its own, and while the gate is shut requests are refused in a way that lets clients come again.
func TestTermsChange(t *testing.T) {
	wait, reached := make(chan struct{}), make(chan struct{})
	set := set(standin.HTTP(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.ContentLength > 200 { // the long one
			close(reached)
			<-wait
		}
		_, _ = fmt.Fprint(w, "{}")
	})))
	for i := range set.Classes {
		set.Classes[i].WholeMs = 5000
	}
	pool := upstream.NewPool(upstream.NewBudget(1024), config.Millis(set.ConnectTimeoutMs), config.Millis(set.ConnIdleMs))
	servers := NewServers(pool, set.HealthPath)
	var classes config.ChatCatalog
	first, places := classes.Take(set)
	c := core.New(first, 7, servers, standin.Log())
	c.Listed(brain.ListComplete, set.Workers())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go c.Run(ctx)
	d := &door{}
	addr := standin.HTTP(t, NewGated(c, servers, d, true))
	ask := func(model, text string) (status int, version, after string) {
		resp, err := http.Post("http://"+addr+"/v1/chat/completions", "application/json",
			strings.NewReader(fmt.Sprintf(`{"model":%q,"messages":[{"content":%q}]}`, model, text)))
		if err != nil {
			t.Error(err)
			return 0, "", ""
		}
		_ = resp.Body.Close()
		return resp.StatusCode, resp.Header.Get(policyHeader), resp.Header.Get("Retry-After")
	}
	healthy := func() int {
		resp, err := http.Get("http://" + addr + "/health")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	if status, version, after := ask("query", "x"); status != 503 || version != "" || after != "1.500" || healthy() != 503 {
		t.Errorf("shut: %d, %q, %q, health %d", status, version, after, healthy())
	}
	d.terms.Store(NewTerms(set, places, 4))
	if status, version, _ := ask("query", "x"); status != 200 || version != "4" || healthy() != 200 {
		t.Errorf("%d, %q, health %d", status, version, healthy())
	}
	long := make(chan string)
	go func() {
		status, version, _ := ask("filing", strings.Repeat("x", 300))
		long <- fmt.Sprint(status, version)
	}()
	<-reached
	next := set
	next.Classes = []config.ChatClass{{Name: "other", Models: []string{"other"}, Effect: "safe", AimMs: 300, DeadlineMs: 700, WholeMs: 700, Worth: 1}}
	brain, places := classes.Take(next)
	c.UpdateSettings(brain)
	d.terms.Store(NewTerms(next, places, 5))
	if status, version, _ := ask("query", "x"); status != 404 || version != "5" {
		t.Errorf("a model that is gone: %d, %q", status, version)
	}
	if status, version, _ := ask("other", "x"); status != 200 || version != "5" {
		t.Errorf("a model that is new: %d, %q", status, version)
	}
	close(wait)
	if got := <-long; got != "2004" {
		t.Errorf("the long one ended as %s", got)
	}
}
