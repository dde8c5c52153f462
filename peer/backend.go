package peer

// BackendReport is what a backend server has said about itself in its responses. The node
// on its host sends it with each result; other nodes send it back with their next hop to
// that host, so that a node that was restarted knows it before its first response.
type BackendReport struct {
	Instance  string  `cbor:"1,keyasint,omitempty"` // ID of the backend server
	Started   int64   `cbor:"2,keyasint,omitempty"` // its start, Unix milliseconds; 0 if unknown
	RateLimit float64 `cbor:"3,keyasint"`           // requests per second that it takes from all nodes together; +Inf without a limit
	Leaving   bool    `cbor:"4,keyasint,omitempty"` // it takes no new requests until it ends
}
