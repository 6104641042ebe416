//go:build !broken

package samples

import (
	"context"

	"sumacloft/internal/decide/samples"
)

// Injected is the fault that this build has: none.
func Injected() samples.Fault { return "" }

// Pause does nothing: see the other build.
func Pause(ctx context.Context) context.Context { return ctx }
