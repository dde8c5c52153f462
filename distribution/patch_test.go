package distribution

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/peer"
)

// Guards against a patch that does not yield the document, especially when the common
// prefix and suffix overlap, and against one that is larger than necessary.
func TestPatchRoundTrip(t *testing.T) {
	long := strings.Repeat("a route of a service;", 2000)
	for name, tc := range map[string]struct{ base, document string }{
		"no base":            {"", long},
		"the same":           {long, long},
		"change inside":      {long + "x" + long, long + "y" + long},
		"change at the ends": {"x" + long + "x", "y" + long + "y"},
		"inserted":           {long + long, long + "new" + long},
		"removed":            {long + "old" + long, long + long},
		"repeated bytes":     {"aaaa", "aaaaaaa"},
		"fewer repeated":     {"aaaaaaa", "aaaa"},
		"nothing in common":  {"abc", "xyz"},
		"empty":              {"abc", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var base []byte
			if tc.base != "" {
				base = []byte(tc.base)
			}
			encodedPatch := makePatch("d", base, []byte(tc.document))
			got, err := applyPatch(encodedPatch, func(digest string) ([]byte, bool) { return base, digest == "d" })
			assert.NilError(t, err)
			assert.Assert(t, string(got) == tc.document)
			assert.Assert(t, len(encodedPatch) <= 1024, "%d bytes", len(encodedPatch))
		})
	}
}

// Guards against patches that read outside the base, exhaust the memory or need a base
// that is missing.
func TestBadPatches(t *testing.T) {
	bomb := deflate(make([]byte, maxDocumentBytes+1))
	base := func(digest string) ([]byte, bool) { return []byte("base"), digest == "d" }
	for name, p := range map[string]any{
		"not a patch":     "x",
		"unknown base":    patch{Base: "x", Middle: deflate(nil)},
		"prefix too long": patch{Base: "d", Prefix: 5, Middle: deflate(nil)},
		"suffix too long": patch{Base: "d", Prefix: 2, Suffix: 3, Middle: deflate(nil)},
		"negative prefix": patch{Base: "d", Prefix: -1, Middle: deflate(nil)},
		"negative suffix": patch{Base: "d", Suffix: -1, Middle: deflate(nil)},
		"prefix, no base": patch{Prefix: 1, Middle: deflate(nil)},
		"not deflated":    patch{Middle: []byte("plain")},
		"too large":       patch{Middle: bomb},
	} {
		encoded, err := cbor.Marshal(p)
		assert.NilError(t, err)
		_, err = applyPatch(encoded, base)
		assert.Assert(t, err != nil, name)
	}
}

// Guards against a node that sends the whole document to a peer that has the previous
// version, or a patch to one that lacks its base.
func TestPatchToPeer(t *testing.T) {
	f := newFixture(t)
	v1, v2 := document(t, 1), document(t, 2)
	for _, encoded := range [][]byte{v1, v2} {
		f.cacheDocument(cachedDocument{digest: config.Digest(encoded), encoded: encoded})
	}
	get := func(base string) []byte {
		payload, err := cbor.Marshal(partRequest{Digest: config.Digest(v2), Base: base})
		assert.NilError(t, err)
		reply, err := f.peers.handlers[kindRequest](context.Background(), peer.Identity{Node: "a"}, payload)
		assert.NilError(t, err)
		return reply.(partReply).Part
	}
	whole := makePatch("", nil, v2)
	small := makePatch(config.Digest(v1), v1, v2)
	assert.Assert(t, !bytes.Equal(whole, small))
	assert.Assert(t, bytes.Equal(get(""), whole))
	assert.Assert(t, bytes.Equal(get(config.Digest(v1)), small))
	assert.Assert(t, bytes.Equal(get(strings.Repeat("0", 64)), whole))
}
