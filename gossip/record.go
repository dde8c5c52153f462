// Package gossip replicates small versioned records between nodes. A change is
// pushed at once to a few random peers; periodic comparison of digests
// (anti-entropy) repairs what pushes miss.
package gossip

import (
	"bytes"
	"cmp"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("gossip")

// Record is one replicated value. Of two records with the same key the one with
// the higher version wins; origin, value and expiry break ties, so that merging
// is idempotent and commutative.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Version uint64
	Origin  string // node that wrote this version
	Value   []byte // must not be modified
	Expires int64  // unix seconds after which every store drops the record; 0 means never
}

// Expired reports whether the record's expiry has passed.
func (r *Record) Expired(now time.Time) bool {
	return r.Expires != 0 && now.Unix() >= r.Expires
}

// compare orders records of the same key; the greater one wins.
func (r *Record) compare(o *Record) int {
	return cmp.Or(
		cmp.Compare(r.Version, o.Version),
		strings.Compare(r.Origin, o.Origin),
		bytes.Compare(r.Value, o.Value),
		cmp.Compare(r.Expires, o.Expires),
	)
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// fnvAdd adds data to the 64-bit FNV-1a hash h. Hashes are compared between
// nodes, so the algorithm must be the same on all nodes.
func fnvAdd[T string | []byte](h uint64, data T) uint64 {
	for i := 0; i < len(data); i++ {
		h = (h ^ uint64(data[i])) * fnvPrime
	}
	return h
}

// fnvAdd64 adds the 8 bytes of v, lowest first, to the 64-bit FNV-1a hash h.
func fnvAdd64(h, v uint64) uint64 {
	for range 8 {
		h = (h ^ v&0xff) * fnvPrime
		v >>= 8
	}
	return h
}

// mix is a 64-bit finaliser for FNV hashes. Digests combine hashes by XOR, so
// each input bit has to affect all output bits.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// hash returns a hash of all fields of the record, for digests.
func (r *Record) hash() uint64 {
	h := fnvAdd(fnvOffset, r.Key)
	h = fnvAdd64(h, r.Version)
	h = fnvAdd(h, r.Origin)
	h = fnvAdd(h, r.Value)
	return mix(fnvAdd64(h, uint64(r.Expires)))
}

// bucketOf returns the bucket of a key. It must be the same on all nodes.
func bucketOf(key string) int { return int(mix(fnvAdd(fnvOffset, key)) % bucketCount) }
