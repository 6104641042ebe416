package inflight

import (
	"bytes"
	"net/http"
)

const (
	// ConnectionBytes is what a connection without a request holds: the stacks of its goroutines, net/http's buffers, and its
	// entries in tables.
	ConnectionBytes = 24 << 10
	// RequestBytes is what a request that runs holds beside its head and body: stacks, the buffers of its connection to a
	// worker, and the piece of its answer that is passed on.
	RequestBytes = 24 << 10
	// headLineBytes and headByteBytes are what one line and one byte of a head become when it is parsed: the entry of a map,
	// the strings of the name and the value, and a slice of values.
	headLineBytes, headByteBytes = 192, 2
)

// DropHead releases the memory of a request's head. net/http keeps a request until its connection is closed, which takes a
// while after an answer that the client may still have to read.
func DropHead(request *http.Request) {
	request.Header, request.Trailer = nil, nil
}

// HeadBytes returns what a part of a head holds once it is parsed.
func HeadBytes(part []byte) int64 {
	return int64(headByteBytes*len(part) + headLineBytes*bytes.Count(part, []byte("\n")))
}
