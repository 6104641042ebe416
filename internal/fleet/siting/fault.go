//go:build !broken

package siting

import "sumacloft/internal/decide/sites"

// Injected returns no fault in regular builds.
func Injected() sites.Fault { return "" }
