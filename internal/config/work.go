package config

import (
	"fmt"
	"time"
)

// Work bounds what is written down of work in hand, for the classes that have handover.
type Work struct {
	KeepS         int64   `toml:"keep_s"`         // how long an ended request's answer is kept
	MaxOpen       int     `toml:"max_open"`       // requests in hand at once; more are refused
	MaxKept       int     `toml:"max_kept"`       // ended ones of this router that are kept at once
	MaxBodyKB     int     `toml:"max_body_kb"`    // of a request's body, compressed; a larger one can't be run by another router
	MaxAnswerKB   int     `toml:"max_answer_kb"`  // of an answer, compressed; a larger one is not kept
	Batch         int     `toml:"batch"`          // records in one entry of the log at most
	TakeoverPerS  float64 `toml:"takeover_per_s"` // how many this router takes over in a second
	OnAway        string  `toml:"on_away"`        // what becomes of safe classes while the store is away: refuse or serve
	TraceFile     string  `toml:"trace_file"`     // spans are written there; "" for nowhere
	HandOverDrain bool    `toml:"drain"`          // at SIGTERM what waits goes to other routers
}

// The words for what becomes of safe classes while nothing can be written down.
const (
	AwayRefuse = "refuse"
	AwayServe  = "serve"
)

func defaultWork() Work {
	return Work{KeepS: 600, MaxOpen: 1000, MaxKept: 100_000, MaxBodyKB: 64, MaxAnswerKB: 256, Batch: 256, TakeoverPerS: 50, OnAway: AwayRefuse, HandOverDrain: true}
}

// Keep is how long an answer is kept.
func (w Work) Keep() time.Duration { return time.Duration(w.KeepS) * time.Second }

func (w Work) check() error {
	for key, v := range map[string]float64{"keep_s": float64(w.KeepS), "max_open": float64(w.MaxOpen), "max_kept": float64(w.MaxKept), "max_body_kb": float64(w.MaxBodyKB),
		"max_answer_kb": float64(w.MaxAnswerKB), "batch": float64(w.Batch), "takeover_per_s": w.TakeoverPerS} {
		if !(v > 0) {
			return fmt.Errorf("work.%s: %g, must be positive", key, v)
		}
	}
	if w.MaxBodyKB > 1024 || w.MaxAnswerKB > 8192 {
		return fmt.Errorf("work.max_body_kb, work.max_answer_kb: at most 1024 and 8192")
	}
	if w.OnAway != AwayRefuse && w.OnAway != AwayServe {
		return fmt.Errorf("work.on_away: %q is neither %s nor %s", w.OnAway, AwayRefuse, AwayServe)
	}
	return nil
}
