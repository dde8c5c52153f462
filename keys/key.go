// Package keys checks the API keys of callers. Only digests of keys are stored
// and passed on; no key appears in a log, an error or a response.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Class is the class of the errors of this package, except for refusals.
var Class = errs.Class("keys")

const (
	// RowPrefix is the prefix of the table rows and gossip records of keys.
	RowPrefix = "key/"

	idBytes      = 8
	secretBytes  = 32
	maxIDLength  = 64
	maxKeyLength = 256
)

// State is the state of a key. It never decreases.
type State uint8

// The states of a key. They serve as versions of its record, so a withdrawal
// overrides a grant regardless of the order of arrival.
const (
	Granted   State = 1
	Withdrawn State = 2
)

var stateNames = map[State]string{Granted: "granted", Withdrawn: "withdrawn"}

// String returns the name of the state, or "unknown".
func (s State) String() string {
	if n, ok := stateNames[s]; ok {
		return n
	}
	return "unknown"
}

// DigestSize is the length of a digest in bytes.
const DigestSize = sha256.Size

// value is the content of the table row and gossip record of a key.
type value struct {
	Workspace string `cbor:"1,keyasint,omitempty"`
	Digest    []byte `cbor:"2,keyasint,omitempty"`
	State     State  `cbor:"3,keyasint"`
}

func (v value) encode() []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the type always encodes
	}
	return b
}

// Generate returns a new random key and its ID. The key itself is stored nowhere:
// it is shown to the operator once.
func Generate() (key, id string) {
	raw := make([]byte, idBytes+secretBytes)
	_, _ = rand.Read(raw) // never fails
	id = hex.EncodeToString(raw[:idBytes])
	return id + "." + base64.RawURLEncoding.EncodeToString(raw[idBytes:]), id
}

// Digest returns the SHA-256 digest of a whole key.
func Digest(key string) [DigestSize]byte {
	var buf [maxKeyLength]byte // avoids an allocation per lookup
	if len(key) > len(buf) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(buf[:copy(buf[:], key)])
}

// split returns the ID of a key. ok is false if the text is not a well-formed key.
func split(key string) (id string, ok bool) {
	if len(key) > maxKeyLength {
		return "", false
	}
	id, secret, found := strings.Cut(key, ".")
	return id, found && secret != "" && ValidID(id)
}

// ValidID reports whether id is a well-formed key ID. A whole key is not valid.
func ValidID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && !(c >= '0' && c <= '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// equalDigest compares in constant time.
func equalDigest(a, b *[DigestSize]byte) bool {
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
