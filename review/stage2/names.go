package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's protocol are kept out of Go files.
//
//go:embed names.json
var rawNames []byte

// protocolNames are the headers, paths and heartbeat fields of the platform's protocol.
type protocolNames struct {
	Attempt, Deadline, Expect, Seal string
	Heartbeat, Deregister           string // paths, followed by the ID of the server
	Fields                          struct{ Service, Address, Zone, Version, Capacity, Phase, Cold, Sequence, Born string }
}

var names = mustReadNames()

func mustReadNames() protocolNames {
	var n protocolNames
	if err := json.Unmarshal(rawNames, &n); err != nil {
		panic(err) // the file is embedded
	}
	return n
}
