// Package knownred tests .ci/judge, by which CI passes over the failures that KNOWN-RED.txt names.
package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const known = `Each was seen once.
internal/lab TestHardCases/kept,_and_away: not traced.
internal/chat TestGuard: a race.
internal/chat TestOpen/a: not traced.
review/3/run.sh: not part of CI.
`

func TestOnlyNamedTestsArePassedOver(t *testing.T) {
	const (
		guard  = "--- FAIL: TestGuard (0.01s)\n    guard_test.go:86: 1 requests are left\nFAIL\nFAIL\tsumacloft/internal/chat\t1.2s\n"
		passed = "ok  \tsumacloft/internal/core\t4.8s\n"
		hard   = "--- FAIL: TestHardCases (9.00s)\n    --- FAIL: TestHardCases/kept,_and_away (9.00s)\nFAIL\nFAIL\tsumacloft/internal/lab\t99s\n"
	)
	for name, given := range map[string]struct {
		log    string
		green  bool
		prints string
	}{
		"a named test":                      {passed + guard, true, "internal/chat TestGuard: a race."},
		"named tests of two packages":       {guard + passed + hard, true, "internal/lab TestHardCases/kept,_and_away: not traced."},
		"a test of another package":         {strings.ReplaceAll(guard, "internal/chat", "internal/core"), false, "internal/core TestGuard"},
		"another test":                      {strings.ReplaceAll(guard, "TestGuard", "TestGuarded"), false, "internal/chat TestGuarded"},
		"the beginning of a name":           {strings.ReplaceAll(guard, "TestGuard", "TestGua"), false, "internal/chat TestGua"},
		"a named test and another":          {"--- FAIL: TestOther (0.1s)\n" + guard, false, "internal/chat TestOther"},
		"a part that is not named":          {strings.ReplaceAll(hard, "kept,_and_away", "another"), false, "TestHardCases/another"},
		"a test of which a part is named":   {"--- FAIL: TestOpen (0.1s)\nFAIL\nFAIL\tsumacloft/internal/chat\t1s\n", false, "internal/chat TestOpen"},
		"a package without a named test":    {guard + "FAIL\tsumacloft/internal/core\t1s\n", false, "internal/core (no test is named)"},
		"a data race":                       {"WARNING: DATA RACE\n" + guard, false, "data race"},
		"a panic":                           {"panic: fault\n" + guard, false, "panic"},
		"a package that can't be built":     {guard + "FAIL\tsumacloft/internal/core [build failed]\n", false, "build"},
		"a failure before any test":         {"make: *** [Makefile:9: test] Error 1\n", false, "no test is named"},
		"a test that ended with no package": {"--- FAIL: TestGuard (0.01s)\n", false, "(no package) TestGuard"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			folder := c.TempDir()
			logFile, knownFile := filepath.Join(folder, "log"), filepath.Join(folder, "known")
			c.Assert(os.WriteFile(logFile, []byte(given.log), 0o600), qt.IsNil)
			c.Assert(os.WriteFile(knownFile, []byte(known), 0o600), qt.IsNil)
			output, err := exec.Command("bash", "../../.ci/judge", logFile, knownFile).CombinedOutput()
			c.Assert(err == nil, qt.Equals, given.green, qt.Commentf("%s", output))
			c.Assert(string(output), qt.Contains, given.prints)
		})
	}
}
