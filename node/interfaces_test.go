package node

import (
	"github.com/dotterelseam/dotterelseam/directory"
	"github.com/dotterelseam/dotterelseam/distribution"
)

// New detects these optional interfaces by type assertion. Without this check, a
// renamed method would silently switch the notifications off.
var (
	_ VersionObserver = (*distribution.Follower)(nil)
	_ PeerObserver    = (*directory.Directory)(nil)
)
