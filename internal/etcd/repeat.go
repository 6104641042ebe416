package etcd

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// pauses lie between tries at a store: the first is short, since another endpoint may answer, the later ones are longer,
// and daemons that have lost the same store don't come back to it in step. Four tries take no longer than they did at
// 100 ms each.
func pauses() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: 50 * time.Millisecond, Multiplier: 1.5, RandomizationFactor: 0.5, MaxInterval: 400 * time.Millisecond}
}

// Repeat makes one try after the other until one succeeds or ctx ends, and says of each that failed why. A try that took
// longer than a silent endpoint does was served: the pauses begin anew.
func Repeat(ctx context.Context, try func() error, say func(error)) {
	between := pauses()
	_, _ = backoff.Retry(ctx, func() (struct{}, error) {
		began := time.Now()
		err := try()
		if time.Since(began) > 2*silence {
			between.Reset()
		}
		return struct{}{}, err
	}, backoff.WithBackOff(between), backoff.WithMaxElapsedTime(0), backoff.WithNotify(func(err error, _ time.Duration) { say(err) }))
}
