package rpc

import "github.com/fxamacker/cbor/v2"

// codec encodes messages as CBOR. It implements connect.Codec.
type codec struct{}

// Name is the encoding's part of the content type.
func (codec) Name() string { return "cbor" }

// Marshal implements connect.Codec.
func (codec) Marshal(message any) ([]byte, error) {
	encoded, err := cbor.Marshal(message)
	return encoded, Error.Wrap(err)
}

// Unmarshal implements connect.Codec.
func (codec) Unmarshal(encoded []byte, message any) error {
	return Error.Wrap(cbor.Unmarshal(encoded, message))
}
