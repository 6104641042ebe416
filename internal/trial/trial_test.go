package trial

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestMechanismsAreSwitchedOffInTrialsOnly(t *testing.T) {
	c := qt.New(t)
	off, err := Parse([]string{"hints", "balance"}, true)
	c.Assert(err, qt.IsNil)
	c.Assert(off.Has(Hints), qt.IsTrue)
	c.Assert(off.Has(Balance), qt.IsTrue)
	c.Assert(off.Has(PickUp), qt.IsFalse)
	c.Assert(off.String(), qt.Equals, "hints,balance")
	_, err = Parse([]string{"hints"}, false)
	c.Assert(err, qt.ErrorMatches, ".*add --trial.*")
	_, err = Parse([]string{"hint"}, true)
	c.Assert(err, qt.ErrorMatches, `.*no mechanism "hint"; there are: .*hints.*`)
	off, err = Parse(nil, false)
	c.Assert(err, qt.IsNil)
	c.Assert(off.Any(), qt.IsFalse)
}

// What is deployed takes part in no trial.
func TestDeployFilesAreNoTrials(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("../../deploy/*.toml")
	c.Assert(err, qt.IsNil)
	c.Assert(len(files) > 0, qt.IsTrue)
	for _, file := range files {
		text, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		for _, flag := range []string{"--trial", "--without"} {
			c.Assert(strings.Contains(string(text), flag), qt.IsFalse, qt.Commentf("%s in %s", flag, file))
		}
	}
}
