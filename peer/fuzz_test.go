package peer

import "testing"

// Guards against a header of another node that takes a node down.
func FuzzDecodeHeader(f *testing.F) {
	for _, v := range []any{
		&Hop{CallID: "c", Service: "s", Attempts: 2, RemainingMicros: 10, ContentLength: -1},
		&HopResult{AttemptsUnused: 1, Complete: true, AdmitRatio: 0.5},
	} {
		encoded, err := EncodeHeader(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Add("")
	f.Add("!")
	f.Fuzz(func(_ *testing.T, encoded string) {
		var hop Hop
		if DecodeHeader(encoded, &hop) == nil {
			hop.Remaining()
		}
		var result HopResult
		_ = DecodeHeader(encoded, &result)
	})
}

// Guards against a frame of another node that takes a node down.
func FuzzUnmarshalFrame(f *testing.F) {
	encoded, err := encodeFrame(1, 7, "Kind", map[string]int{"a": 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte{})
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(_ *testing.T, payload []byte) {
		var fr frame
		_ = Unmarshal(payload, &fr)
	})
}
