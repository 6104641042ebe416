//go:build broken

package samples

import (
	"context"
	"os"
	"strconv"
	"time"

	"sumacloft/internal/decide/samples"
)

// Injected is the fault that a build for the checkers' own proof has, as the environment says.
func Injected() samples.Fault { return samples.Fault(os.Getenv("SUMACLOFT_BROKEN")) }

var pause, _ = strconv.Atoi(os.Getenv("SUMACLOFT_SAMPLES_PAUSE_MS"))

// Pause stands for a decider that is stopped between reading and writing: its write comes so much later, and its calls are not
// given up for that.
func Pause(ctx context.Context) context.Context {
	if pause <= 0 {
		return ctx
	}
	time.Sleep(time.Duration(pause) * time.Millisecond)
	return context.WithoutCancel(ctx)
}
