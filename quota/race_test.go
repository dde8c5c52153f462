//go:build race

package quota

// A simulation runs one goroutine at a time, so the race detector finds nothing in
// it and only slows it down.
const defaultSeeds = 4
