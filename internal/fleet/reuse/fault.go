//go:build !broken

package reuse

import "sumacloft/internal/decide/reuse"

// Injected is the fault that this build has: none.
func Injected() reuse.Fault { return "" }
