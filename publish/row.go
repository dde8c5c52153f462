package publish

import (
	"context"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/store"
)

// RowKey is the key of the table row that holds the digest of the published
// configuration. The version of the row is the version of the configuration.
const RowKey = "config/current"

const digestHexLength = 64 // SHA-256

// row is the content of the table row.
type row struct {
	Digest string `cbor:"1,keyasint"`
}

// Current identifies the current configuration in the platform. Version 0 means that
// none was published yet.
type Current struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"` // SHA-256 of the encoded document, hex
}

// EncodeRow returns the value of the table row for a digest. The error is of class
// ErrMalformed.
func EncodeRow(digest string) ([]byte, error) {
	b, err := cbor.Marshal(row{digest})
	return b, ErrMalformed.Wrap(err)
}

// DecodeRow decodes a table row. The error is of class ErrMalformed.
func DecodeRow(r store.Row) (Current, error) {
	var v row
	if err := cbor.Unmarshal(r.Value, &v); err != nil {
		return Current{}, ErrMalformed.Wrap(err)
	}
	if _, err := hex.DecodeString(v.Digest); err != nil || len(v.Digest) != digestHexLength {
		return Current{}, ErrMalformed.New("row %s holds no SHA-256 digest", r.Key)
	}
	return Current{Version: r.Version, Digest: v.Digest}, nil
}

// RowReader is the subset of the store that is needed to read the row.
type RowReader interface {
	Get(ctx context.Context, key string) (store.Row, error)
}

// ReadCurrent returns the version and digest of the current configuration. The error
// is of class ErrUnavailable, ErrRejected or ErrMalformed.
func ReadCurrent(ctx context.Context, client RowReader) (Current, error) {
	r, err := client.Get(ctx, RowKey)
	switch {
	case err == nil:
		return DecodeRow(r)
	case store.ErrNotFound.Has(err):
		return Current{}, nil
	case store.ErrRejected.Has(err):
		return Current{}, ErrRejected.Wrap(err)
	}
	return Current{}, ErrUnavailable.Wrap(err)
}

// Reader is the subset of the store that is needed to read a snapshot.
type Reader interface {
	RowReader
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// ReadSnapshot returns the current configuration including its document, or nil if
// none was published yet. The error is of class ErrUnavailable, ErrRejected,
// ErrMalformed or ErrInvalid.
func ReadSnapshot(ctx context.Context, client Reader) (*config.Snapshot, error) {
	current, err := ReadCurrent(ctx, client)
	if err != nil || current.Version == 0 {
		return nil, err
	}
	encoded, err := client.GetObject(ctx, current.Digest)
	if err != nil {
		return nil, classifyFailure(err)
	}
	s, err := config.Decode(current.Version, encoded)
	return s, ErrInvalid.Wrap(err)
}
