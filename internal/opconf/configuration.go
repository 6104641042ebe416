// Package opconf reads and checks the operator's configuration: routes, services and limits, as JSON.
//
// A configuration keeps the document that it was read from. Fields that the package does not know stay in that document,
// and a Change leaves every item that it does not name as it was, byte for byte. Table answers which route a request
// takes. All of it is free of I/O; values never change once they are made and may be shared among goroutines.
package opconf

import (
	"time"
)

// Configuration is one version of what the operator wants. It is read-only; Parse and Apply make it.
type Configuration struct {
	Version  uint64 // above 0, rising with every configuration
	Routes   []Route
	Services []Service
	Limits   Limits

	document document
}

// Raw returns a copy of the JSON document: the very bytes that Parse was given, or what Apply made of them.
func (c *Configuration) Raw() []byte {
	return []byte(c.document.text)
}

// Size returns the length of the document in bytes.
func (c *Configuration) Size() int {
	return len(c.document.text)
}

// Service returns the service with the given name.
func (c *Configuration) Service(name string) (*Service, bool) {
	for index := range c.Services {
		if c.Services[index].Name == name {
			return &c.Services[index], true
		}
	}
	return nil, false
}

// RouteKind says whether the requests of a route may be repeated.
type RouteKind uint8

// The kinds of routes. A route that names no kind is Risky, which allows the least; any other kind is a fault.
const (
	Harmless RouteKind = iota + 1 // requests may run more than once
	Risky                         // requests may run at most once
	Flowing                       // answers are streams of events
)

// routeKinds holds the kinds by their names in the document.
var routeKinds = map[string]RouteKind{
	"harmless": Harmless,
	"risky":    Risky,
	"flowing":  Flowing,
}

// String returns the name that the document uses.
func (k RouteKind) String() string {
	for name, kind := range routeKinds {
		if kind == k {
			return name
		}
	}
	return "unknown"
}

// Route is one route of the operator.
type Route struct {
	Name       string
	Host       string // in lower case and without a port
	PathPrefix string // starts and ends with a slash
	Kind       RouteKind
	GiveUp     time.Duration // longest time to hold a request; above 0
	Target     time.Duration // time within which an answer earns its full worth; 0: none given
	Rank       int           // 0 is the most important
	Shares     []Share       // services that take the requests; weights sum to more than 0
	Tries      int           // most workers that one request may be sent to, at least 1
	Sticky     bool          // requests name parts of prompts that workers keep
	PickUp     bool          // a stream may be resumed at another worker
	GapAim     time.Duration // longest pause between events that is still in time; 0: none given
}

// Idempotent reports whether a request on the route may run more than once: on a harmless route, and on a flowing one
// whose streams may be resumed.
func (r *Route) Idempotent() bool {
	return r.Kind == Harmless || (r.Kind == Flowing && r.PickUp)
}

// Share is the part of a route's requests that one service takes.
type Share struct {
	Service string
	Weight  float64 // not negative
}

// Service is a group of workers that do the same work.
type Service struct {
	Name           string
	HealthPath     string  // path of the health check; "" where none is given
	MaxConnections int     // connections that one worker accepts from all callers together; 0: not given
	Protocol       string  // DefaultProtocol where none is given
	TLS            bool    // workers expect TLS
	Runner         *Runner // figures of model workers; nil for services without a model
}

// DefaultProtocol is HTTP/1.1, spoken with the workers of a service that names no protocol.
const DefaultProtocol = "h1"

// Runner holds the figures of a service's model workers.
type Runner struct {
	Capacity     int           // requests that a worker runs at once
	MemoryTokens int           // tokens that fit a worker's KV cache
	TokenBytes   int           // bytes of KV cache for a token
	LinkMbps     float64       // bandwidth between workers, in megabits a second
	Stride       int           // tokens of prompt for each step of decoding, as the operator gives it
	TicketHold   time.Duration // how long a prefill worker holds the KV cache of a handle
	ChangeTime   time.Duration // time that a worker needs to change its phase
	Models       []Model
}

// Model is one model that the workers of a service run.
type Model struct {
	Name string
}

// Limits bounds what a client may send. A bound of 0 was not given.
type Limits struct {
	HeaderBytes int           // longest head of a request
	BodyBytes   int           // longest body of a request
	HeaderWait  time.Duration // longest time until the head is there
	Quiet       time.Duration // longest time that a connection may be idle
}
