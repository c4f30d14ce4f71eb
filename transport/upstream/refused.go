package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rememberedRefusals is how many refused requests a connection remembers, by their hashes.
const rememberedRefusals = 8

// RecordRefused records that a request was refused on the connection. The refusal may come once
// more, where the next answer is due, and would be taken for the answer if the same request were
// sent again: IdleConnFor does not return the connection for it.
func (cn *Conn) RecordRefused(request string) {
	if len(cn.refused) == rememberedRefusals {
		cn.refused = append(cn.refused[:0], cn.refused[1:]...)
	}
	cn.refused = append(cn.refused, xxhash.Sum64String(request))
}

// hasRefused reports whether the request was refused on the connection.
func (cn *Conn) hasRefused(request string) bool {
	return len(cn.refused) > 0 && slices.Contains(cn.refused, xxhash.Sum64String(request))
}
