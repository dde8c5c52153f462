// Package rendezvous ranks nodes for a name, so that all nodes agree on who is in charge of it
// without a message.
package rendezvous

// Hash returns the rank of a node for a name: the FNV-1a hash of both with a final mix. Unlike
// the hash of package maphash, it is the same on all nodes.
func Hash(name, node string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, s := range []string{name, "/", node} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * prime
		}
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}
