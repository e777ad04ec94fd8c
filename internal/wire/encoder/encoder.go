// Package encoder encodes commands, results and snapshots in CBOR's core deterministic encoding, in
// which equal values have equal bytes.
package encoder

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	maxNestedLevels  = 32
	maxArrayElements = 4 << 20
	maxMapPairs      = 4 << 20
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Marshal encodes a value.
func Marshal(value any) ([]byte, error) {
	data, err := encMode.Marshal(value)
	return data, eris.Wrap(err, "encode")
}

// MarshalLarge encodes a value like Marshal, without the pooled buffer from which that copies its result and which would keep the
// size of the largest value.
func MarshalLarge(value any) ([]byte, error) {
	var buffer bytes.Buffer
	err := encMode.MarshalToBuffer(value, &buffer)
	return buffer.Bytes(), eris.Wrap(err, "encode")
}

// Unmarshal decodes data into the value that target points to. Trailing bytes are an error.
func Unmarshal(data []byte, target any) error {
	return eris.Wrap(decMode.Unmarshal(data, target), "decode")
}

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		// Header fields of stored responses need not be UTF-8. If the decoder rejected them, a
		// log that the encoder has written could not be read.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
