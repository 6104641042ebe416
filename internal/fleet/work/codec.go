// Package work writes down what a router has in hand, in the replicated store, so that another may take it over: the
// book of its records, group commit, and the survivor's part. What may be done with a record is decided in
// internal/decide/ledger.
package work

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"sumacloft/internal/decide/ledger"
)

// format is the first byte of a record: CBOR, compressed by zstd.
const format = 1

// The two are made when they are first needed: on the platform they never are.
var (
	packer = sync.OnceValue(func() *zstd.Encoder {
		e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true))
		if err != nil {
			panic(err) // the options are constants
		}
		return e
	})
	unpacker = sync.OnceValue(func() *zstd.Decoder {
		d, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxRecord))
		if err != nil {
			panic(err) // the options are constants
		}
		return d
	})
)

// maxRecord bounds a record that is read, in bytes: what claims more is no record of ours.
const maxRecord = 64 << 20

// squeeze compresses, and says what became of it if that is larger than a limit.
func squeeze(data []byte, limit int) (out []byte, cut bool) {
	if len(data) == 0 {
		return nil, false
	}
	if out = packer().EncodeAll(data, nil); len(out) > limit {
		return nil, true
	}
	return out, false
}

func stretch(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	return unpacker().DecodeAll(data, nil)
}

// Encode writes a record. Its bodies are compressed by whoever put them there.
func Encode(r ledger.Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	return append([]byte{format}, data...), err
}

// Decode reads a record.
func Decode(data []byte, rev int64) (r ledger.Record, err error) {
	if len(data) == 0 || data[0] != format {
		return r, fmt.Errorf("a record of another format")
	}
	err = cbor.Unmarshal(data[1:], &r)
	r.Rev = rev
	return r, err
}

// Secret keys the digests that stand in the store and in logs for what clients sent.
type Secret []byte

// Digest is a keyed digest of some parts.
func (s Secret) Digest(parts ...[]byte) string {
	h := hmac.New(sha256.New, s)
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(p)) // never fails
		_, _ = h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
