package sidecar

const (
	// reservedDescriptors are kept for files, listeners, the platform's store, and
	// control calls between nodes.
	reservedDescriptors = 400
	// callerDescriptors is the fraction of the other descriptors that callers'
	// connections may use. The rest serves connections to and from other nodes and to the
	// backend server.
	callerDescriptors = 0.5
	// bytesPerConnection is the memory of a caller's connection with a small request.
	bytesPerConnection = 40 << 10
	// connectionMemory is the fraction of the memory limit that callers' connections may
	// use.
	connectionMemory = 0.25
	// requestsPerConnection is the limit of requests in flight per permitted connection.
	// Below 1 there is always a connection without a request that can be closed.
	requestsPerConnection = 0.75
	minConnections        = 64
	// answerMemory is the fraction of the memory limit that answers may use that are kept
	// until earlier ones of the same connection are written. Their buffers may be twice as large.
	answerMemory = 0.125
)

// callerLimits returns the limits of callers' connections and of their requests in flight
// for a process that may open openFiles descriptors and use memory bytes.
func callerLimits(openFiles int, memory int64) (connections, requests int) {
	byDescriptors := callerDescriptors * float64(openFiles-reservedDescriptors)
	byMemory := connectionMemory * float64(memory) / bytesPerConnection
	connections = max(minConnections, int(min(byDescriptors, byMemory)))
	return connections, int(requestsPerConnection * float64(connections))
}
