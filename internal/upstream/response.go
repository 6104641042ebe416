package upstream

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

const (
	// maxHead bounds the head of an answer, maxInterim how many of the 1xx kind may stand in front of it.
	maxHead, maxInterim = 16 << 10, 8
	// maxChunk bounds a chunk: an event is far smaller, and what says more is not to be waited for.
	maxChunk = 1 << 20
	// maxLine bounds the line with a chunk's size, maxTrailer what follows the last chunk.
	maxLine, maxTrailer = 256, 4 << 10
	// maxOpening bounds what is held back until the first event is whole.
	maxOpening = 64 << 10
)

var (
	errHead    = errors.New("the head of the answer can't be read")
	errChunk   = errors.New("a chunk that can't be read")
	errOpening = errors.New("the stream does not open with an event")
)

// head reads the head of the final answer to a request.
func (c *conn) head(method string) (*http.Response, error) {
	for range maxInterim {
		raw, err := c.lines()
		if err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errHead, err)
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < http.StatusContinue:
			return nil, fmt.Errorf("%w: status %d", errHead, resp.StatusCode)
		case resp.StatusCode >= http.StatusOK:
			resp.Body = c.body(resp)
			return resp, nil
		}
	}
	return nil, fmt.Errorf("%w: more than %d of the 1xx kind", errHead, maxInterim)
}

// meant are the fields of a head that mean something here.
var meant = []string{"content-length", "transfer-encoding", "connection"}

// lines reads a head as it came. Other fields may hold what they like, a load report that nobody can read among
// them: net/http would not take a control character in any.
func (c *conn) lines() ([]byte, error) {
	var raw []byte
	for {
		line, err := c.br.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) || len(raw)+len(line) > maxHead {
			return nil, fmt.Errorf("%w: longer than %d bytes", errHead, maxHead)
		}
		if err != nil {
			return nil, err
		}
		at := len(raw)
		raw = append(raw, line...)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return raw, nil
		}
		name, _, field := bytes.Cut(line, []byte(":"))
		if !field || slices.Contains(meant, strings.ToLower(string(name))) {
			continue
		}
		value := bytes.TrimRight(raw[at+len(name)+1:], "\r\n")
		for i, b := range value {
			if (b < ' ' && b != '\t') || b == 0x7f {
				value[i] = ' '
			}
		}
	}
}

// body reads what follows a head.
func (c *conn) body(resp *http.Response) io.ReadCloser {
	switch {
	case len(resp.TransferEncoding) > 0:
		return io.NopCloser(&chunks{br: c.br})
	case resp.ContentLength >= 0:
		return io.NopCloser(&sized{br: c.br, left: resp.ContentLength})
	}
	return io.NopCloser(c.br)
}

// sized is a body whose length is known.
type sized struct {
	br   *bufio.Reader
	left int64
}

// Read serves io.Reader.
func (b *sized) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.br.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunks is a chunked body. net/http's reader believes any size that it can read; this one does not.
type chunks struct {
	br   *bufio.Reader
	left int   // of the chunk that has begun
	tail bool  // the line's end behind a chunk is still to come
	err  error // what ended it
}

// Read serves io.Reader. It gives as many chunks as have come.
func (b *chunks) Read(p []byte) (n int, err error) {
	for n < len(p) {
		if b.left == 0 {
			if n > 0 && !b.buffered() {
				return n, nil
			}
			if b.err == nil {
				b.err = b.next()
			}
			if b.err != nil { // what comes after a fault is no chunk
				return n, b.err
			}
		}
		if n > 0 && b.br.Buffered() == 0 {
			return n, nil
		}
		m, err := b.br.Read(p[n:min(len(p), n+b.left)])
		n, b.left = n+m, b.left-m
		b.tail = b.left == 0
		if err != nil {
			return n, unexpected(err)
		}
	}
	return n, nil
}

// buffered tells whether the head of the next chunk has come.
func (b *chunks) buffered() bool {
	have, _ := b.br.Peek(b.br.Buffered()) // never fails: it is there
	if b.tail {
		have = have[min(2, len(have)):]
	}
	return bytes.IndexByte(have, '\n') >= 0
}

// next reads up to the first byte of the next chunk, or the end.
func (b *chunks) next() error {
	if b.tail {
		if line, err := b.line(); err != nil || len(line) > 0 {
			return cmp.Or(err, errChunk)
		}
		b.tail = false
	}
	line, err := b.line()
	if err != nil {
		return err
	}
	digits, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 63)
	if err != nil || size > maxChunk {
		return fmt.Errorf("%w: size %.20q", errChunk, digits)
	}
	if b.left = int(size); size > 0 {
		return nil
	}
	for seen := 0; seen <= maxTrailer; seen += len(line) {
		if line, err = b.line(); err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
	}
	return fmt.Errorf("%w: the trailer does not end", errChunk)
}

// line reads one line, without its end.
func (b *chunks) line() ([]byte, error) {
	line, err := b.br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > maxLine {
		return nil, errChunk
	}
	if err != nil {
		return nil, unexpected(err)
	}
	bare, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, errChunk
	}
	return bare, nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// eventFields are the names that a line of an event may begin with; an empty one is a comment.
var eventFields = []string{"", "data", "event", "id", "retry"}

// opening tells whether the first event that holds data has come whole. Noise is told from an event that is still
// coming at its first line.
func opening(text []byte, more ...string) (whole bool, err error) {
	if len(text) > maxOpening {
		return false, errOpening
	}
	data := false
	for len(text) > 0 {
		line, rest, ended := bytes.Cut(text, []byte("\n"))
		line, text = bytes.TrimSuffix(line, []byte("\r")), rest
		if len(line) == 0 && ended {
			if data {
				return true, nil
			}
			continue
		}
		name, _, named := bytes.Cut(line, []byte(":"))
		known := func(field string) bool {
			return string(name) == field || (!ended && !named && strings.HasPrefix(field, string(name)))
		}
		fits := slices.ContainsFunc(eventFields, known) || slices.ContainsFunc(more, known)
		if !fits || (ended && !utf8.Valid(line)) {
			return false, errOpening
		}
		data = data || (ended && string(name) == "data")
	}
	return false, nil
}
