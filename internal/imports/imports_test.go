// Package imports checks what packages of the fleet reach for: its decision packages have no I/O, no clock and no
// goroutine, and nothing in the fleet reads the time of day.
package imports

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// module is the path of this module.
const module = "sumacloft/"

// decisions are the decision packages of the fleet, each with the packages of this module that it may import: those
// below it.
var decisions = map[string][]string{
	"brain":                         nil,
	"internal/opconf":               nil,
	"internal/control/consensus":    nil,
	"internal/control/reconfigure":  {"internal/control/consensus"},
	"internal/control/configstate":  {"internal/opconf"},
	"internal/control/coordination": nil,
	"internal/control/registry":     {"internal/mesh/replica", "internal/mesh/tombstone"},
	"internal/control/phases":       nil,
	"internal/mesh/ring":            nil,
	"internal/mesh/detector":        nil,
	"internal/mesh/replica":         nil,
	"internal/mesh/tombstone":       {"internal/mesh/replica"},
	"internal/proxy/budget":         nil,
	"internal/proxy/events":         nil,
}

// pure are the packages outside of this module that have neither I/O, clock nor goroutines.
var pure = []string{
	"bytes", "cmp", "container/heap", "crypto/sha256", "encoding/binary", "encoding/hex", "encoding/json", "errors", "fmt",
	"io", "iter", "maps", "math", "math/bits", "slices", "sort", "strconv", "strings", "unicode", "unicode/utf8",
	"github.com/benbjohnson/immutable", "github.com/cespare/xxhash/v2", "github.com/fxamacker/cbor/v2",
	"github.com/klauspost/compress/flate", "github.com/tidwall/gjson", "github.com/zeebo/errs",
}

// purePart are the packages of which only a part is pure: lengths of time, chance from a given seed, texts of addresses.
var purePart = map[string][]string{
	"time":         {"Duration", "Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour"},
	"math/rand/v2": {"New", "NewPCG", "Rand", "PCG"},
	"net":          {"SplitHostPort", "JoinHostPort"},
}

// source is one file.
type source struct {
	*ast.File
	set *token.FileSet
}

// at is where something stands.
func (s source) at(node ast.Node) string { return s.set.Position(node.Pos()).String() }

// imports are the paths that the file imports, by the names that it uses for them.
func (s source) imports() map[string]string {
	paths := map[string]string{}
	for _, spec := range s.Imports {
		path, _ := strconv.Unquote(spec.Path.Value) // the parser has read it
		elements := strings.Split(path, "/")
		name := elements[len(elements)-1]
		if len(elements) > 1 && len(name) > 1 && name[0] == 'v' && strings.Trim(name[1:], "0123456789") == "" {
			name = elements[len(elements)-2]
		}
		if spec.Name != nil {
			name = spec.Name.Name
		}
		paths[name] = path
	}
	return paths
}

// selected calls back with every name that is selected of something; of is the path of the package that it is selected
// of, "" if that is no package.
func (s source) selected(found func(node ast.Node, of, name string)) {
	paths := s.imports()
	ast.Inspect(s.File, func(node ast.Node) bool {
		if selector, ok := node.(*ast.SelectorExpr); ok {
			of := ""
			if left, plain := selector.X.(*ast.Ident); plain {
				of = paths[left.Name]
			}
			found(node, of, selector.Sel.Name)
		}
		return true
	})
}

// impurities lists what a file of a decision package reaches for that it may not.
func impurities(file source, below []string) (faults []string) {
	say := func(node ast.Node, what string) { faults = append(faults, file.at(node)+": "+what) }
	for _, spec := range file.Imports {
		path, _ := strconv.Unquote(spec.Path.Value) // the parser has read it
		inside, own := strings.CutPrefix(path, module)
		_, part := purePart[path]
		if own && !slices.Contains(below, inside) || !own && !part && !slices.Contains(pure, path) {
			say(spec, "imports "+path)
		}
		if spec.Name != nil && spec.Name.Name == "." {
			say(spec, "takes the names of "+path+" for its own")
		}
	}
	file.selected(func(node ast.Node, of, name string) {
		if allowed, part := purePart[of]; part && !slices.Contains(allowed, name) {
			say(node, "uses "+of+"."+name)
		}
	})
	ast.Inspect(file.File, func(node ast.Node) bool {
		if statement, ok := node.(*ast.GoStmt); ok {
			say(statement, "starts a goroutine")
		}
		return true
	})
	return faults
}

// wallClock are the functions of package time that speak of the time of day, and wallClockMethods the methods by which a
// time is read as a time of day, or parted from the monotonic clock.
var (
	wallClock        = []string{"Unix", "UnixMilli", "UnixMicro", "Date", "Parse", "ParseInLocation"}
	wallClockMethods = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Date", "Clock", "Weekday", "YearDay", "ISOWeek",
		"UTC", "Local", "In", "Round", "Truncate", "Format", "AppendFormat"}
)

// timesOfDay lists where a file may read the time of day. Names that are selected of another package are that package's.
func timesOfDay(file source) (faults []string) {
	file.selected(func(node ast.Node, of, name string) {
		if of == "time" && slices.Contains(wallClock, name) || of == "" && slices.Contains(wallClockMethods, name) {
			faults = append(faults, file.at(node)+": "+name)
		}
	})
	return faults
}

// files are the files of a package without its tests.
func files(c *qt.C, folder string) (all []source) {
	c.Helper()
	entries, err := os.ReadDir(folder)
	c.Assert(err, qt.IsNil)
	for _, entry := range entries {
		if name := entry.Name(); strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go") {
			set := token.NewFileSet()
			parsed, err := parser.ParseFile(set, filepath.Join(folder, name), nil, parser.SkipObjectResolution)
			c.Assert(err, qt.IsNil)
			all = append(all, source{File: parsed, set: set})
		}
	}
	return all
}

// root is the folder of the module, seen from here.
const root = "../.."

func TestDecisionsHaveNoInputClockOrGoroutine(t *testing.T) {
	for _, folder := range slices.Sorted(maps.Keys(decisions)) {
		t.Run(folder, func(t *testing.T) {
			c := qt.New(t)
			all := files(c, filepath.Join(root, folder))
			c.Assert(len(all) > 0, qt.IsTrue)
			for _, file := range all {
				c.Check(impurities(file, decisions[folder]), qt.HasLen, 0)
			}
		})
	}
}

// fleet are the folders of all that runs in the fleet's processes.
var fleet = []string{"cmd/fleetd", "brain", "internal/agent", "internal/boot", "internal/control", "internal/core", "internal/logring",
	"internal/mesh", "internal/opconf", "internal/proxy", "internal/upstream"}

// noTimeOfDay are the places, by file, where such a name is no reading of the time of day.
var noTimeOfDay = map[string]string{
	"internal/control/configstate/snapshot.go: Format": "the number of a format",
	"internal/control/disklog/open.go: Truncate":       "a file's length",
	"internal/control/registry/beat.go: Truncate":      "a length of time",
	"internal/core/core.go: UnixNano":                  "once at the start; from then on the monotonic clock runs",
	"internal/core/core.go: UnixMicro":                 "once at the start, so that ids of an earlier start do not come again",
	"internal/upstream/exchange.go: Unix":              "a deadline that is past at any time",
}

// place is the file and the name of a fault.
func place(fault string) string {
	file, rest, _ := strings.Cut(fault, ".go:")
	_, name, _ := strings.Cut(rest, ": ")
	inside, _ := filepath.Rel(root, file+".go") // never fails: it is below it
	return inside + ": " + name
}

func TestNobodyReadsTheTimeOfDay(t *testing.T) {
	c := qt.New(t)
	used := map[string]bool{}
	for _, folder := range fleet {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !entry.IsDir() {
				return err
			}
			for _, file := range files(c, path) {
				for _, fault := range timesOfDay(file) {
					key := place(fault)
					used[key] = true
					if noTimeOfDay[key] == "" {
						t.Errorf("%s: the time of day jumps; use time.Since of a time that was taken before", fault)
					}
				}
			}
			return nil
		})
		c.Assert(err, qt.IsNil)
	}
	for key := range noTimeOfDay {
		c.Check(used[key], qt.IsTrue, qt.Commentf("%s is named here and not there", key))
	}
}

func TestFaultsAreFound(t *testing.T) {
	for text, want := range map[string]string{
		`import "os"`:       "imports os",
		`import "net/http"`: "imports net/http",
		`import "sync"`:     "imports sync",
		`import "context"`:  "imports context",
		`import "sumacloft/internal/control/partition"`: "imports sumacloft/internal/control/partition",
		`import . "time"`:                             "takes the names of time for its own",
		`import "time"; var now = time.Now()`:         "uses time.Now",
		`import clock "time"; var t clock.Timer`:      "uses time.Timer",
		`import "math/rand/v2"; var n = rand.IntN(3)`: "uses math/rand/v2.IntN",
		`import "net"; var d net.Dialer`:              "uses net.Dialer",
		`func f() { go f() }`:                         "starts a goroutine",
		`import "time"; var d = 3 * time.Second`:      "",
		`import "sumacloft/internal/opconf"`:          "",
	} {
		t.Run(text, func(t *testing.T) {
			c := qt.New(t)
			set := token.NewFileSet()
			parsed, err := parser.ParseFile(set, "x.go", "package x; "+text, parser.SkipObjectResolution)
			c.Assert(err, qt.IsNil)
			faults := impurities(source{File: parsed, set: set}, []string{"internal/opconf"})
			if want == "" {
				c.Assert(faults, qt.HasLen, 0)
				return
			}
			c.Assert(strings.Join(faults, "\n"), qt.Contains, want)
		})
	}
}

func TestReadingsOfTheTimeOfDayAreFound(t *testing.T) {
	for text, want := range map[string]int{
		`import "time"; var now = time.Now().Unix()`:       1,
		`import "time"; var then = time.Unix(1, 0)`:        1,
		`import "time"; var now = time.Now().UTC().Hour()`: 1,
		`import "time"; var now = time.Now().Round(0)`:     1,
		`import "time"; var d = time.Since(time.Now())`:    0,
		`import "math"; var n = math.Round(1.5)`:           0,
	} {
		t.Run(text, func(t *testing.T) {
			c := qt.New(t)
			set := token.NewFileSet()
			parsed, err := parser.ParseFile(set, "x.go", "package x; "+text, parser.SkipObjectResolution)
			c.Assert(err, qt.IsNil)
			c.Assert(timesOfDay(source{File: parsed, set: set}), qt.HasLen, want)
		})
	}
}
