//go:build !broken

package policy

// Injected is the fault that this build has: none.
func Injected() Fault { return "" }
