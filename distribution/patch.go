package distribution

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/dotterelseam/dotterelseam/peer"
)

// patch is the difference between two documents, in which documents are transferred.
// Successive documents mostly differ in one place, so the bytes before and after it are
// taken from the base, a document that the receiver already has; the rest is compressed.
// At 4,700 changes a day, whole documents of 40 KB alone would use up the traffic allowed
// for control.
type patch struct {
	Base   string `cbor:"1,keyasint,omitempty"` // digest of the receiver's document; empty for none
	Prefix int    `cbor:"2,keyasint,omitempty"` // bytes taken from the beginning of the base
	Suffix int    `cbor:"3,keyasint,omitempty"` // bytes taken from the end of the base
	Middle []byte `cbor:"4,keyasint"`           // the bytes between prefix and suffix, in DEFLATE format
}

// makePatch returns the encoded patch from base to document. base may be nil.
func makePatch(baseDigest string, base, document []byte) []byte {
	p := patch{}
	if base != nil {
		p.Base = baseDigest
		p.Prefix = commonPrefix(base, document)
		p.Suffix = commonSuffix(base[p.Prefix:], document[p.Prefix:])
	}
	p.Middle = deflate(document[p.Prefix : len(document)-p.Suffix])
	return mustMarshal(p)
}

// applyPatch returns the document of a patch made by makePatch. base looks up the base
// document by its digest. The size of the result is limited, but its digest is not
// verified.
func applyPatch(encoded []byte, base func(digest string) ([]byte, bool)) ([]byte, error) {
	var p patch
	if err := peer.Unmarshal(encoded, &p); err != nil {
		return nil, err
	}
	var old []byte
	if p.Base != "" {
		var ok bool
		if old, ok = base(p.Base); !ok {
			return nil, Error.New("the base of the patch is not held")
		}
	}
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(old) || p.Suffix > len(old)-p.Prefix {
		return nil, Error.New("patch of %d and %d bytes of a document of %d", p.Prefix, p.Suffix, len(old))
	}
	middle, err := inflate(p.Middle)
	if err != nil {
		return nil, err
	}
	document := make([]byte, 0, p.Prefix+len(middle)+p.Suffix)
	document = append(document, old[:p.Prefix]...)
	document = append(document, middle...)
	return append(document, old[len(old)-p.Suffix:]...), nil
}

func commonPrefix(a, b []byte) (n int) {
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) (n int) {
	for n < min(len(a), len(b)) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

func deflate(data []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is constant
	}
	_, _ = w.Write(data) // a bytes.Buffer returns no errors
	_ = w.Close()
	return out.Bytes()
}

// inflate decompresses data. It returns an error if the result is larger than
// maxDocumentBytes.
func inflate(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	out, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(out) > maxDocumentBytes {
		return nil, Error.New("patch of more than %d bytes", maxDocumentBytes)
	}
	return out, nil
}
