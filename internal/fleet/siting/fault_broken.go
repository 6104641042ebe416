//go:build broken

package siting

import (
	"os"

	"sumacloft/internal/decide/sites"
)

// Injected returns the fault named by the environment. Such builds show that the checkers detect the fault.
func Injected() sites.Fault { return sites.Fault(os.Getenv("SUMACLOFT_BROKEN")) }
