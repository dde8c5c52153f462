//go:build race

package quota

// The race detector makes coroutines slow and can find nothing in a schedule,
// which runs on one thread at a time, so most schedules run without it.
const defaultSeeds = 4
