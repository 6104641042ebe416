//go:build !broken

package work

import "time"

// Injected is the fault that this build has: none.
func Injected() Fault { return "" }

// Pause does nothing in this build.
func Pause() {}

// Wall is the wall clock, by which records say until when a request's client waits.
func Wall() time.Time { return time.Now() }
