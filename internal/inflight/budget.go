package inflight

import (
	"runtime"
	"runtime/debug"
)

// Share is how a process divides its memory. The parts are of what the program's own pages leave.
type Share struct {
	Requests    float64 // for open requests
	Connections float64 // for connections without a request
	Runtime     float64 // the runtime's soft limit, a second line behind the account
}

const (
	// reservedDescriptors is the number of file descriptors for files and listeners.
	reservedDescriptors = 300
	// inboundShare of the other descriptors is for connections to the process, the rest for its own to others.
	inboundShare = 0.7
	// minConnections is the number of connections on a machine with few descriptors.
	minConnections = 64
)

// Inbound returns how many connections to a process its descriptors allow if it makes few connections of its own.
func Inbound(openFiles int) int {
	if openFiles <= 0 {
		openFiles = unknownOpenFiles
	}
	return max(int(inboundShare*float64(openFiles-reservedDescriptors)), minConnections)
}

// programBytes are the mapped pages of the program, which the runtime does not count.
const programBytes = 18 << 20

// A machine whose limits are not known counts as a small one.
const (
	unknownMemoryMB  = 180
	unknownOpenFiles = 4096
)

// usable returns the bytes of memory that the program's own pages leave.
func usable(memoryMB int) float64 {
	if memoryMB <= 0 {
		memoryMB = unknownMemoryMB
	}
	all := float64(memoryMB) * (1 << 20)
	return max(all-programBytes, all/4)
}

// Limits returns the limits of a process on a machine with so much memory, whose descriptors allow so many connections.
func (s Share) Limits(memoryMB, connections int) Limits {
	room := usable(memoryMB)
	return Limits{
		Bytes:       int64(s.Requests * room),
		Connections: min(connections, int(s.Connections*room/ConnectionBytes)),
	}
}

// LimitRuntime sets the runtime's memory limit. It is for the process's main function.
func (s Share) LimitRuntime(memoryMB int) { debug.SetMemoryLimit(int64(s.Runtime * usable(memoryMB))) }

// Account returns the account of a process.
func (s Share) Account(memoryMB, connections int) *Account {
	return New(s.Limits(memoryMB, connections), Hooks{Collect: runtime.GC, Drained: debug.FreeOSMemory})
}
