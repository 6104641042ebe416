package opconf

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// maxExact is the first whole number that a float64 cannot tell from its neighbour.
const maxExact = 1 << 53

// object reads typed values from the members of one JSON object. A member that is missing or null counts as not given.
type object struct {
	path  string // gjson path of the object
	value gjson.Result
	found *faults
}

// at returns the gjson path of a member.
func (o object) at(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// get returns a member, and whether it is given.
func (o object) get(name string) (gjson.Result, bool) {
	value := o.value.Get(name)
	return value, value.Exists() && value.Type != gjson.Null
}

// text returns a string, "" where none is given.
func (o object) text(name string) string {
	value, given := o.get(name)
	if !given {
		return ""
	}
	if value.Type != gjson.String {
		o.found.add(o.at(name), "is not a string; write it in quotes")
		return ""
	}
	return strings.Clone(value.Str)
}

// needed returns a string that may not be empty.
func (o object) needed(name string) string {
	value, given := o.get(name)
	if !given || (value.Type == gjson.String && value.Str == "") {
		o.found.add(o.at(name), "is missing or empty; give one")
		return ""
	}
	return o.text(name)
}

// flag returns a truth value, false where none is given.
func (o object) flag(name string) bool {
	value, given := o.get(name)
	if given && !value.IsBool() {
		o.found.add(o.at(name), "is neither true nor false; give one of them")
	}
	return value.Type == gjson.True
}

// number returns a number that is not negative, 0 where none is given.
func (o object) number(name string) float64 {
	value, given := o.get(name)
	if !given {
		return 0
	}
	if value.Type != gjson.Number || math.IsInf(value.Num, 0) {
		o.found.add(o.at(name), "is not a number that can be read; give one")
		return 0
	}
	if value.Num < 0 {
		o.found.add(o.at(name), "is negative; give 0 or more")
		return 0
	}
	return value.Num
}

// whole returns a number with any fraction dropped; numbers too large for an int count as the largest one.
func (o object) whole(name string) int {
	number := o.number(name)
	if number >= math.MaxInt {
		return math.MaxInt
	}
	return int(number)
}

// duration returns a number of units; times too long to be counted count as the longest one.
func (o object) duration(name string, unit time.Duration) time.Duration {
	length := o.number(name) * float64(unit)
	if length >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(math.Round(length))
}

// readVersion reads the version of a document, which must be a whole number above 0.
func readVersion(object gjson.Result, found *faults) uint64 {
	value := object.Get(versionMember)
	version, ok := wholeVersion(value)
	if !ok || version == 0 {
		found.add(versionMember, "is not a whole number above 0; give the version of this document")
		return 0
	}
	return version
}

// wholeVersion returns the whole number that value is, in whichever way it is written.
func wholeVersion(value gjson.Result) (uint64, bool) {
	if value.Type != gjson.Number {
		return 0, false
	}
	version, err := strconv.ParseUint(value.Raw, 10, 64)
	if err == nil {
		return version, true
	}
	isWhole := value.Num >= 0 && value.Num < maxExact && value.Num == math.Trunc(value.Num)
	if !isWhole {
		return 0, false
	}
	return uint64(value.Num), true
}
