//go:build broken

package reuse

import (
	"os"

	"sumacloft/internal/decide/reuse"
)

// Injected is the fault that a build for the checkers' own proof has, as the environment says.
func Injected() reuse.Fault { return reuse.Fault(os.Getenv("SUMACLOFT_BROKEN")) }
