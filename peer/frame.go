package peer

import (
	"github.com/fxamacker/cbor/v2"
)

// MaxMessageBytes bounds one encoded control message. Larger data, such as a
// configuration snapshot, is sent in parts.
const MaxMessageBytes = 1 << 20

// protocolVersion is sent in the hello message; peers with another version are
// refused.
const protocolVersion = 1

type frameType uint8

const (
	frameHello frameType = iota
	frameSend
	frameCall
	frameReply
	frameError
	frameBusy
)

// frame is the envelope of every control message.
type frame struct {
	_       struct{} `cbor:",toarray"`
	Type    frameType
	ID      uint64 // matches a reply to its call
	Kind    string
	Payload cbor.RawMessage
}

// hello is the payload of the first frame in each direction of a connection.
type hello struct {
	Protocol int      `cbor:"1,keyasint"`
	Identity Identity `cbor:"2,keyasint"`
}

var decoder = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 16,
		IndefLength:      cbor.IndefLengthForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Unmarshal decodes a control message into v and rejects deep nesting and large
// arrays and maps. The error is of class ErrMalformed.
func Unmarshal(payload []byte, v any) error {
	return ErrMalformed.Wrap(decoder.Unmarshal(payload, v))
}

func encodeFrame(t frameType, id uint64, kind string, msg any) ([]byte, error) {
	payload, err := cbor.Marshal(msg)
	if err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	b, err := cbor.Marshal(frame{Type: t, ID: id, Kind: kind, Payload: payload})
	if err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	if len(b) > MaxMessageBytes {
		return nil, ErrTooLarge.New("%s of %d bytes", kind, len(b))
	}
	return b, nil
}

// frameBytes returns the size in bytes of a message of n bytes with its WebSocket
// header. Frames from the dialling side carry a 4-byte mask.
func frameBytes(n int, fromDialler bool) int64 {
	header := 2
	switch {
	case n > 0xffff:
		header = 10
	case n > 125:
		header = 4
	}
	if fromDialler {
		header += 4
	}
	return int64(n + header)
}
