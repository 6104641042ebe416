package registry

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("registry")

// Beat is one heartbeat of a worker.
type Beat struct {
	ID        string
	Service   string
	Address   string // host:port
	Zone      string
	Version   string
	Capacity  int
	State     State // Up or Leaving
	ColdLeft  time.Duration
	Phase     string
	Models    []Model
	CallCount uint64
}

// BeatProblem is the kind of error in a field of a heartbeat.
type BeatProblem string

// The problems that ParseBeat reports.
const (
	NotJSON        BeatProblem = "is not a JSON object"
	Missing        BeatProblem = "is missing"
	WrongType      BeatProblem = "has the wrong type"
	OutOfRange     BeatProblem = "is out of range"
	UnknownValue   BeatProblem = "holds an unknown word"
	InvalidAddress BeatProblem = "is no host:port"
	TooLong        BeatProblem = "is too long"
)

// BeatFault reports a heartbeat that was rejected.
type BeatFault struct {
	WorkerID string
	Field    string // path within the body, or "body" for the body as a whole
	Problem  BeatProblem
}

// Error implements the error interface.
func (f *BeatFault) Error() string {
	return fmt.Sprintf("heartbeat of worker %q: %s %s; check what this worker's release sends",
		f.WorkerID, f.Field, f.Problem)
}

// maxCallCount reserves the lowest bit of an entry's version for lapsedMinor.
const maxCallCount = math.MaxUint64 / 2

const (
	// maxTextBytes bounds each text of a heartbeat and the worker's ID, because every process of the fleet keeps them.
	maxTextBytes = 512
	// maxListItems bounds each list of a heartbeat.
	maxListItems = 64
)

// maxColdLeft caps the reported cold time so that sums of durations cannot overflow.
const maxColdLeft = 24 * time.Hour

// ParseBeat parses the body of a heartbeat. The service, the address and the call count are required. Other fields
// that are missing or null take the zero value, and the state defaults to Up. Unknown fields are ignored. Errors are of
// type BeatFault.
func ParseBeat(id string, body []byte) (Beat, error) {
	reader := beatReader{id: id, body: gjson.ParseBytes(body)}
	if !gjson.ValidBytes(body) || !reader.body.IsObject() {
		reader.fail("body", NotJSON)
		return Beat{}, reader.fault()
	}
	beat := Beat{
		ID:        id,
		Service:   reader.required("service"),
		Address:   reader.address("address"),
		Zone:      reader.text("zone"),
		Version:   reader.text("version"),
		Capacity:  int(reader.integer("capacity", math.MaxInt32)),
		State:     reader.state("state"),
		ColdLeft:  reader.milliseconds("cold_left_ms"),
		Phase:     reader.text("phase"),
		Models:    reader.models("models"),
		CallCount: reader.callCount("call_count"),
	}
	if id == "" {
		reader.fail("id", Missing)
	}
	if len(id) > maxTextBytes {
		reader.fail("id", TooLong)
	}
	if reader.firstFault != nil {
		return Beat{}, reader.fault()
	}
	return beat, nil
}

// worker returns the worker state that the heartbeat reports to the control member home.
func (b Beat) worker(home string) Worker {
	return Worker{
		ID:        b.ID,
		Service:   b.Service,
		Address:   b.Address,
		Zone:      b.Zone,
		Version:   b.Version,
		Capacity:  b.Capacity,
		State:     b.State,
		ColdLeft:  b.ColdLeft,
		Phase:     b.Phase,
		Models:    b.Models,
		CallCount: b.CallCount,
		Home:      home,
	}
}

// beatReader reads the fields of a heartbeat and keeps the first fault.
type beatReader struct {
	id         string
	body       gjson.Result
	firstFault *BeatFault
}

func (r *beatReader) fail(field string, problem BeatProblem) {
	if r.firstFault == nil {
		r.firstFault = &BeatFault{WorkerID: r.id, Field: field, Problem: problem}
	}
}

func (r *beatReader) fault() error {
	return Error.Wrap(r.firstFault)
}

// field looks up a field of the body. A null field counts as missing.
func (r *beatReader) field(path string) (gjson.Result, bool) {
	found := r.body.Get(path)
	return found, found.Exists() && found.Type != gjson.Null
}

func (r *beatReader) text(path string) string {
	found, present := r.field(path)
	if !present {
		return ""
	}
	if found.Type != gjson.String {
		r.fail(path, WrongType)
		return ""
	}
	text := found.String()
	if len(text) > maxTextBytes {
		r.fail(path, TooLong)
		return ""
	}
	return text
}

func (r *beatReader) required(path string) string {
	text := r.text(path)
	if text == "" {
		r.fail(path, Missing)
	}
	return text
}

func (r *beatReader) address(path string) string {
	address := r.required(path)
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || host == "" || number == 0 {
		r.fail(path, InvalidAddress)
	}
	return address
}

// integer reads an integer from 0 to limit. A missing field is 0.
func (r *beatReader) integer(path string, limit uint64) uint64 {
	found, present := r.field(path)
	if !present {
		return 0
	}
	if found.Type != gjson.Number {
		r.fail(path, WrongType)
		return 0
	}
	return r.inRange(path, found, limit)
}

func (r *beatReader) inRange(path string, found gjson.Result, limit uint64) uint64 {
	number, err := strconv.ParseUint(found.Raw, 10, 64)
	if err != nil {
		number = uint64(max(0, found.Num)) // notations such as 3.0 or 1e3
	}
	if found.Num < 0 || found.Num != math.Trunc(found.Num) || number > limit || found.Num >= math.MaxUint64 {
		r.fail(path, OutOfRange)
		return 0
	}
	return number
}

func (r *beatReader) callCount(path string) uint64 {
	if _, present := r.field(path); !present {
		r.fail(path, Missing)
	}
	return r.integer(path, maxCallCount)
}

// milliseconds reads a duration. Fractions are allowed. Values out of range are clamped to 0 and maxColdLeft.
func (r *beatReader) milliseconds(path string) time.Duration {
	found, present := r.field(path)
	if !present {
		return 0
	}
	if found.Type != gjson.Number {
		r.fail(path, WrongType)
		return 0
	}
	milliseconds := min(max(0, found.Num), float64(maxColdLeft.Milliseconds()))
	return time.Duration(milliseconds * float64(time.Millisecond)).Truncate(time.Millisecond)
}

func (r *beatReader) state(path string) State {
	switch r.text(path) {
	case "", "up":
		return Up
	case "leaving":
		return Leaving
	}
	r.fail(path, UnknownValue)
	return Up
}

func (r *beatReader) models(path string) []Model { return readList(r, path, r.model) }

func (r *beatReader) model(path string) Model {
	return Model{
		Name:    r.required(path + ".name"),
		Version: int(r.integer(path+".version", math.MaxInt32)),
		AddOns:  r.textList(path + ".add_ons"),
	}
}

func (r *beatReader) textList(path string) []string { return readList(r, path, r.required) }

// readList reads each element of a list. A missing list is empty.
func readList[T any](r *beatReader, path string, read func(path string) T) []T {
	found, present := r.field(path)
	if !present {
		return nil
	}
	if !found.IsArray() {
		r.fail(path, WrongType)
		return nil
	}
	if len(found.Array()) > maxListItems {
		r.fail(path, TooLong)
		return nil
	}
	var list []T
	for index := range found.Array() {
		list = append(list, read(path+"."+strconv.Itoa(index)))
	}
	return list
}
