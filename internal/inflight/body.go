package inflight

import (
	"errors"
	"io"
)

// firstPiece is the room that a body begins with. It doubles as bytes arrive, so a sender that announces much and sends
// nothing holds little.
const firstPiece = 16 << 10

// ErrTooLarge reports a body that is larger than its limit.
var ErrTooLarge = errors.New("inflight: the body is larger than its limit")

// ReadBody reads a body of at most limit bytes and charges it to the holder. length is the announced length, or negative if
// there is none. After an error nothing of the body stays charged. The caller releases the charge of a body that was read,
// len(body) bytes or a little more, with the rest of the request.
func ReadBody(reader io.Reader, length, limit int64, holder *Holder) (body []byte, err error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	most := limit + 1 // one byte more shows that the body is too large
	if length >= 0 {
		most = length
	}
	for int64(len(body)) < most {
		if len(body) == cap(body) {
			if body, err = enlarge(body, most, holder); err != nil {
				break
			}
		}
		var n int
		n, err = reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if n > 0 && err == nil {
			holder.Touch()
		}
		if err != nil {
			break
		}
	}
	switch {
	case int64(len(body)) > limit:
		err = ErrTooLarge
	case errors.Is(err, io.EOF) && length >= 0 && int64(len(body)) < length:
		err = io.ErrUnexpectedEOF
	case errors.Is(err, io.EOF) || int64(len(body)) == length:
		return body, nil
	}
	holder.Shrink(int64(cap(body)))
	return nil, err
}

// enlarge doubles the room of a body, up to most bytes. Both rooms are charged while it copies.
func enlarge(body []byte, most int64, holder *Holder) ([]byte, error) {
	room := min(max(2*int64(cap(body)), firstPiece), most)
	if err := holder.Grow(room); err != nil {
		return body, err
	}
	larger := make([]byte, len(body), room)
	copy(larger, body)
	holder.Shrink(int64(cap(body)))
	return larger, nil
}
