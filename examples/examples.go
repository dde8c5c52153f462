// Package examples holds complete trees of operators' files.
package examples

import "embed"

// Files contains the trees trust and sniadaniowo.
//
//go:embed trust sniadaniowo
var Files embed.FS
