package keys

import "time"

// Verified reports whether the cut-off rule currently allows keys to be accepted.
// If not, Lookup refuses valid keys as keys_unverified.
func (s *Store) Verified() bool {
	return s.cfg.Now().Sub(s.start) < time.Duration(s.verifiedUntil.Load())
}
