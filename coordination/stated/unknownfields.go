package stated

import (
	"strings"
	"unicode"
)

// Unread remembers which words of services' replicas nobody reads, so that each
// is said once. It is not safe for concurrent use.
type UnknownFields struct {
	most  int
	known map[unreadWord]bool
}

type unreadWord struct{ service, name string }

const (
	mostUnread     = 128 // words of all services; a bound against a replica that makes names up
	longestWord    = 64  // bytes of a name that are kept
	unreadReplaced = '?' // stands for what a log line should not hold
)

// NewUnread returns an empty memory.
func NewUnknownFields() *UnknownFields {
	return &UnknownFields{most: mostUnread, known: make(map[unreadWord]bool)}
}

// Note takes in a word that nobody reads. It returns the name as it may be shown,
// and whether it is new.
func (u *UnknownFields) Record(service, name string) (shown string, isNew bool) {
	word := unreadWord{service: service, name: presentable(name)}
	if u.known[word] || len(u.known) >= u.most {
		return word.name, false
	}
	u.known[word] = true
	return word.name, true
}

// presentable cuts a name and replaces what is not printable in it.
func presentable(name string) string {
	if len(name) > longestWord {
		name = name[:longestWord]
	}
	return strings.Map(func(r rune) rune {
		if r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return unreadReplaced
		}
		return r
	}, name)
}
