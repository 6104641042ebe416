package replica

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's failures.
var Error = errs.Class("replica")

// Buckets is the number of hash buckets into which a digest divides the keys. All routers must use the same number.
const Buckets = 64

const digestBytes = Buckets * 8

// Digest summarizes a map as one hash per bucket of keys, computed over the bucket's entries. Maps with equal digests hold
// the same entries, barring collisions of a 64-bit hash. Its CBOR form is one string of 512 bytes.
type Digest [Buckets]uint64

// Sum is a checksum of the digest. Routers exchange it first, and whole digests only if the checksums differ.
func (d Digest) Sum() uint64 {
	return xxhash.Sum64(d.bytes())
}

// DigestSizeError reports a digest whose size differs from this program's.
type DigestSizeError struct {
	Got  int // bytes received
	Want int // bytes of a digest
}

// Error implements error.
func (e *DigestSizeError) Error() string {
	return fmt.Sprintf("the digest has %d bytes instead of %d: run the same release on all routers", e.Got, e.Want)
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (d Digest) MarshalBinary() ([]byte, error) {
	return d.bytes(), nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. It returns a DigestSizeError if the size is wrong.
func (d *Digest) UnmarshalBinary(data []byte) error {
	if len(data) != digestBytes {
		return Error.Wrap(&DigestSizeError{Got: len(data), Want: digestBytes})
	}
	for bucket := range d {
		d[bucket] = binary.BigEndian.Uint64(data[bucket*8:])
	}
	return nil
}

func (d Digest) bytes() []byte {
	data := make([]byte, 0, digestBytes)
	for _, hash := range d {
		data = binary.BigEndian.AppendUint64(data, hash)
	}
	return data
}

// toggle adds an entry to the digest, or removes it if it is included.
func (d *Digest) toggle(entry Entry) {
	d[bucketOf(entry.Key)] ^= entry.fingerprint()
}

func bucketOf(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}
