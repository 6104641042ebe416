//go:build broken

package work

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Injected is the fault that a build for the checkers' own proof has, as the environment says.
func Injected() Fault { return Fault(os.Getenv("SUMACLOFT_BROKEN")) }

var pauses, _ = strconv.Atoi(os.Getenv("SUMACLOFT_PAUSE_MS"))
var writes atomic.Int64

// Pause stands for a dial that takes long: one write in four comes so much later after its intent.
func Pause() {
	if pauses > 0 && writes.Add(1)%4 == 0 {
		time.Sleep(time.Duration(pauses) * time.Millisecond)
	}
}

// Wall is the wall clock, which is wrong by as many milliseconds as the file has that the environment names: so clocks can
// jump by a schedule, in processes that share a machine.
func Wall() time.Time {
	now := time.Now()
	path := os.Getenv("SUMACLOFT_CLOCK")
	if path == "" {
		return now
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return now // it is written when the clock jumps first
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return now // one that is just being written is read again
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}
