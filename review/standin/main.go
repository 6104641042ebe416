// Command standin plays the review's cases against the project's own programs. It starts a small fleet of fleetd
// processes on loopback addresses, plays the workers, the clients, the platform and the applications around it, and judges
// one rule by what these saw.
//
// Usage: standin CASE FLEETD FOLDER, in the repository's root. CASE is the name of a case, FLEETD the path of the built
// program and FOLDER the case's folder, into which record.txt is written. With TROUBLE=0 in the environment the
// disruption is left out. Exit status: 0, the rule held; 1, it was broken; 2, the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// caseLimit bounds a case as a whole.
const caseLimit = 100 * time.Second

// errBroken says that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by their names. Each returns errBroken, nil or why it could not run.
var cases = map[string]func(ctx context.Context, s *stage) error{
	"leave":  playLeave,
	"lock":   playLock,
	"freeze": playFreeze,
}

// stage is what every case has.
type stage struct {
	record  *record
	fleetd  string
	folder  string // temporary, for boot files, disks and logs
	trouble bool
}

func main() {
	runtime.LockOSThread() // the processes that it starts end with this thread, also where it is killed; see begin
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FLEETD FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays one case and returns the exit status.
func run(name, fleetd, folder string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	s := &stage{record: rec, fleetd: fleetd, folder: temporary, trouble: os.Getenv("TROUBLE") != "0"}
	rec.say("case %s, disruption: %v", name, s.trouble)
	switch err := cases[name](ctx, s); {
	case errors.Is(err, errBroken):
		rec.say("RESULT: the rule was broken")
		return 1
	case err != nil:
		rec.say("RESULT: could not run: %v", err)
		return 2
	}
	rec.say("RESULT: the rule held")
	return 0
}
