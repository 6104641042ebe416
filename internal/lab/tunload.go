package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rollouts are the clients that ask for samples: so many at once, each with a key of its own, with which it comes again at
// any router until it has a final answer.
type rollouts struct {
	f      *TuningFleet
	seed   uint64
	n      int
	client *http.Client
	closed chan struct{}

	mu       sync.Mutex
	asked    map[string]bool // by key: it was answered
	statuses map[int]int
}

func newRollouts(f *TuningFleet, seed uint64, n int) *rollouts {
	return &rollouts{f: f, seed: seed, n: n, asked: map[string]bool{}, statuses: map[int]int{}, closed: make(chan struct{}),
		client: &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// prompts is how many there are that samples begin with.
const prompts = 50

func prompt(i int) string { return fmt.Sprint("prompt ", i) }

// insistsFor is for how long a client comes again once nothing new is asked.
const insistsFor = 15 * time.Second

// run asks until it is closed, and waits until all have their answers or have given up.
func (l *rollouts) run(ctx context.Context) {
	defer l.client.CloseIdleConnections()
	var all sync.WaitGroup
	defer all.Wait()
	for who := range l.n {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(l.seed, uint64(who)+0x5a))
			for i := 0; ; i++ {
				select {
				case <-l.closed:
					return
				case <-ctx.Done():
					return
				default:
				}
				l.one(ctx, fmt.Sprintf("k%d-%d-%d", l.seed, who, i), rng)
			}
		})
	}
}

func (l *rollouts) one(ctx context.Context, key string, rng *rand.Rand) {
	l.mu.Lock()
	l.asked[key] = false
	l.mu.Unlock()
	until, prompt := time.Time{}, prompt(rng.IntN(prompts)) // the same each time: a key stands for one body
	for ctx.Err() == nil {
		status, wait := l.ask(ctx, key, prompt, rng)
		l.mu.Lock()
		l.statuses[status]++
		l.asked[key] = l.asked[key] || status == http.StatusOK
		l.mu.Unlock()
		if status != 0 && status != http.StatusServiceUnavailable {
			return
		}
		select {
		case <-l.closed:
			if until.IsZero() {
				until = time.Now().Add(insistsFor)
			} else if time.Now().After(until) {
				return
			}
		default:
		}
		time.Sleep(wait + time.Duration(rng.IntN(50))*time.Millisecond)
	}
}

func (l *rollouts) ask(ctx context.Context, key, prompt string, rng *rand.Rand) (status int, wait time.Duration) {
	d := l.f.Daemons[rng.IntN(len(l.f.Daemons))]
	body := fmt.Sprintf(`{"model":"sample","messages":[{"content":%q},{"content":%q}]}`, prompt, key)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Listen+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, 0
	}
	req.Header.Set("Idempotency-Key", key)
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, 50 * time.Millisecond
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return 0, 50 * time.Millisecond
	}
	again, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		again = 0.1
	}
	return resp.StatusCode, time.Duration(min(again, 0.5) * float64(time.Second))
}

// answered are the keys whose clients have a final answer, and how many were asked.
func (l *rollouts) answered() (keys []string, asked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, done := range l.asked {
		if done {
			keys = append(keys, key)
		}
	}
	return keys, len(l.asked)
}
