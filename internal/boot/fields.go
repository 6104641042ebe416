package boot

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
)

// maxPort is the highest port number there is.
const maxPort = 65535

// fields reads typed values from the fields of one file and collects what is wrong with them.
type fields struct {
	properties *properties.Properties
	faults     []Fault
}

// fault notes what is wrong with the field under key.
func (f *fields) fault(key, format string, arguments ...any) {
	f.faults = append(f.faults, Fault{Key: key, Problem: fmt.Sprintf(format, arguments...)})
}

// text returns the value under key without the blanks around it, "" where there is none.
func (f *fields) text(key string) string {
	return strings.TrimSpace(f.properties.GetString(key, ""))
}

// required returns the value under key and notes a fault where there is none.
func (f *fields) required(key, purpose string) string {
	value := f.text(key)
	if value == "" {
		f.fault(key, "is missing; add a line %s=... with %s", key, purpose)
	}
	return value
}

// list returns the items of the list under key, without empty ones.
func (f *fields) list(key string) []string {
	var items []string
	for item := range strings.SplitSeq(f.text(key), ",") {
		item = strings.TrimSpace(item)
		if item != "" {
			items = append(items, item)
		}
	}
	return items
}

// under returns the values of all fields whose key starts with prefix, by the rest of the key.
func (f *fields) under(prefix string) map[string]string {
	values := make(map[string]string)
	for _, key := range f.properties.Keys() {
		rest, found := strings.CutPrefix(key, prefix)
		if found && rest != "" {
			values[rest] = f.text(key)
		}
	}
	return values
}

// number returns the number under key; none may be negative.
func (f *fields) number(key string, fallback float64) float64 {
	value := f.text(key)
	if value == "" {
		return fallback
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		f.fault(key, "%q is not a number; give one such as 3 or 0.5, or remove the line to use %v", value, fallback)
		return fallback
	}
	if number < 0 {
		f.fault(key, "%q is negative; give 0 or more, or remove the line to use %v", value, fallback)
		return fallback
	}
	return number
}

// whole returns the number under key with any fraction dropped.
func (f *fields) whole(key string, fallback int) int {
	number := f.number(key, float64(fallback))
	if number > math.MaxInt32 {
		f.fault(key, "%v is too large; give at most %d", number, math.MaxInt32)
		return fallback
	}
	return int(number)
}

// duration returns the number under key as so many units.
func (f *fields) duration(key string, unit, fallback time.Duration) time.Duration {
	length := f.number(key, float64(fallback)/float64(unit)) * float64(unit)
	if length >= math.MaxInt64 {
		f.fault(key, "is longer than can be counted; give a shorter time")
		return fallback
	}
	return time.Duration(math.Round(length))
}

// interval returns the number of milliseconds under key, which must be above 0.
func (f *fields) interval(key string, fallback time.Duration) time.Duration {
	interval := f.duration(key, time.Millisecond, fallback)
	if interval <= 0 {
		f.fault(key, "must be above 0; give a number of milliseconds, or remove the line to use %v", fallback)
		return fallback
	}
	return interval
}

// flag returns the truth value under key, false where there is none.
func (f *fields) flag(key string) bool {
	value := f.text(key)
	if value == "" {
		return false
	}
	flag, err := strconv.ParseBool(strings.ToLower(value))
	if err != nil {
		f.fault(key, "%q is neither true nor false; give one of them, or remove the line for false", value)
	}
	return flag
}

// address returns the address under key, host and port.
func (f *fields) address(key string, needed bool) string {
	value := f.text(key)
	if value == "" && needed {
		return f.required(key, "the address (ip:port) to listen on for what the role serves")
	}
	if value != "" {
		f.checkAddress(key, value)
	}
	return value
}

// checkAddress notes a fault where value is not a host and a port.
func (f *fields) checkAddress(key, value string) {
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		f.fault(key, "%q is no address; give it as ip:port", value)
		return
	}
	f.port(key, port)
}

// port returns the port that text writes, 0 with a fault where it writes none.
func (f *fields) port(key, text string) int {
	port, err := strconv.Atoi(text)
	if err != nil || port < 1 || port > maxPort {
		f.fault(key, "%q is no port; give a number from 1 to %d", text, maxPort)
		return 0
	}
	return port
}
