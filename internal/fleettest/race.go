//go:build race

package fleettest

import "runtime"

// Timers that are due while several goroutines of one bubble look at them run in the bubble's one context of the race
// detector, at once on several threads, which it does not bear (seen with Go 1.26: the detector itself crashes). On one
// thread that can't happen.
func init() { runtime.GOMAXPROCS(1) }
