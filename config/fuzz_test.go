package config

import "testing"

// Guards against a snapshot that takes a node down when it is decoded or used.
func FuzzDecode(f *testing.F) {
	encoded, err := Encode(&Document{Services: []Service{{Name: "s", Routes: []Route{{Pattern: "GET /a/{id}", Attempts: 1}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x01, 0x80})
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		s, err := Decode(1, encoded)
		if err != nil {
			return
		}
		s.Match("s", "GET", "/a/1")
	})
}
