package chat

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/core"
	"sumacloft/internal/decide/ledger"
	"sumacloft/internal/decide/samples"
	"sumacloft/internal/etcd"
	"sumacloft/internal/etcd/etcdtest"
	"sumacloft/internal/standin"
)

// sampler stands for the board's agent.
type sampler struct {
	epoch int64

	mu     sync.Mutex
	inHand int
	ended  []samples.Sample
}

func (s *sampler) Epoch() int64 { return s.epoch }

func (s *sampler) Take() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inHand++
}

func (s *sampler) Ended(one *samples.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inHand--; one != nil {
		s.ended = append(s.ended, *one)
	}
}

func (s *sampler) Of(w core.Worker) samples.Worker {
	return samples.Worker{Name: w.Name, Boot: "1", Label: 4}
}

func (s *sampler) Written(one samples.Sample) *pb.RequestOp {
	return etcd.Put(fmt.Sprintf("/ended/%d", s.epoch), []byte(fmt.Sprint(one.StartEpoch)), 0)
}

func (s *sampler) seen() (inHand int, ended []samples.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inHand, s.ended
}

// A router is lost with a sample in hand: whoever takes it over makes the sample, under the epoch that the record has, and
// writes it down with the end; a client that comes again with the key makes none. An answer that is no answer makes none.
func TestSampleOfALostRouter(t *testing.T) {
	endpoint, _ := etcdtest.Serve(t, nil)
	first, second := make(chan struct{}), make(chan struct{})
	var once sync.Once
	server := standin.HTTP(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/health" {
			return
		}
		begun := false
		if once.Do(func() { begun = true; close(first) }); begun {
			<-second // of the router that is lost: it is never answered in time
			return
		}
		_, _ = fmt.Fprint(w, `{"system_fingerprint":"fp3","choices":[{"finish_reason":"stop"}],"usage":{"completion_tokens":9}}`)
	}))
	defer close(second)
	a, ha := hands(t, endpoint, "a", false, server)
	b, hb := hands(t, endpoint, "b", false, server)
	sa, sb := &sampler{epoch: 3}, &sampler{epoch: 9}
	for h, s := range map[*Handover]*sampler{ha: sa, hb: sb} {
		h.Samples = s
		set := h.front.gate.Last().set
		for i := range set.Classes {
			set.Classes[i].Samples = true
		}
	}
	standin.Eventually(t, 5*time.Second, "both books are ready", func() bool { return ha.Book.Ready() && hb.Book.Ready() })
	go func() { askKeyed(t, a, "query", "key-1", "make one", false) }()
	<-first
	if n, _ := sa.seen(); n != 1 {
		t.Errorf("%d in hand", n)
	}
	hb.Book.Seen([]ledger.Owner{{Name: "b", Boot: "1"}}, math.MaxInt64)
	standin.Eventually(t, 10*time.Second, "the survivor makes it", func() bool { _, ended := sb.seen(); return len(ended) == 1 })
	_, ended := sb.seen()
	if s := ended[0]; s.Key != samples.Key("key-1") || s.StartEpoch != 3 || s.Version != 3 || s.Label != 4 || s.End != 0 || s.Tokens != 9 || !s.Accepted {
		t.Errorf("%+v", s)
	}
	if got := askKeyed(t, b, "query", "key-1", "make one", false); got.status != 200 {
		t.Errorf("%+v", got)
	}
	client := etcdtest.Client(t, endpoint)
	r, err := client.Range(t.Context(), etcd.Under("/ended/", false))
	if err != nil || len(r.Kvs) != 1 || string(r.Kvs[0].Value) != "3" {
		t.Errorf("written down: %v %v", r.GetKvs(), err)
	}
	if n, ended := sb.seen(); n != 0 || len(ended) != 1 {
		t.Errorf("%d in hand, %d made", n, len(ended))
	}
}

func TestWhatAnAnswerTells(t *testing.T) {
	for _, c := range []struct {
		body   string
		stream bool
		want   told
	}{
		{`{"choices":[{"finish_reason":"stop"}],"system_fingerprint":"fp_w12","usage":{"completion_tokens":7}}`, false, told{7, true, true, 12, 12}},
		{`{"choices":[{"finish_reason":"length"}],"usage":{"completion_tokens":7}}`, false, told{tokens: 7}},
		{`{"object":"chat.completion","choices":[]}`, false, told{tokens: 10, accepted: true}},
		{"data: {\"system_fingerprint\":\"w3\"}\n\ndata: {\"system_fingerprint\":\"w4\",\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", true, told{2, true, true, 3, 4}},
		{"data: {}\n\ndata: {\"usage\":{\"completion_tokens\":40}}\n\ndata: [DONE]\n\n", true, told{tokens: 40, accepted: true}},
		{"no answer of this kind", false, told{tokens: 5, accepted: true}},
	} {
		if got := tell([]byte(c.body), c.stream); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.body, got, c.want)
		}
	}
}
