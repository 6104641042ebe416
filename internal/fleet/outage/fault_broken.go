//go:build broken

package outage

import (
	"os"

	"sumacloft/internal/decide/outage"
)

// Injected is the fault that a build for the checkers' own proof has, as the environment says.
func Injected() outage.Fault { return outage.Fault(os.Getenv("SUMACLOFT_BROKEN")) }
