//go:build broken

package policy

import "os"

// Injected is the fault that a build for the checkers' own proof has, as the environment says.
func Injected() Fault { return Fault(os.Getenv("SUMACLOFT_BROKEN")) }
