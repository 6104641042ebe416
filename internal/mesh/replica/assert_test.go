package replica_test

import (
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// assert applies a quicktest checker inside a rapid property, where quicktest itself cannot be used.
func assert(t *rapid.T, got any, checker qt.Checker, args ...any) {
	t.Helper()
	ignoreNote := func(string, any) {}
	if err := checker.Check(got, args, ignoreNote); err != nil {
		t.Fatalf("%v\ngot: %v\nwant: %v", err, got, args)
	}
}
