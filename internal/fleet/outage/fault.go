//go:build !broken

package outage

import "sumacloft/internal/decide/outage"

// Injected is the fault that this build has: none.
func Injected() outage.Fault { return "" }
