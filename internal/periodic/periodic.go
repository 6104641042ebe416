// Package periodic runs what a process does again and again.
package periodic

import (
	"context"
	"time"
)

// Run calls do once in each interval until the context ends. A call that lasts longer than the interval delays the next;
// calls are not made up for.
func Run(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		do()
	}
}
