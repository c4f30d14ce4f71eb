package upstream

import "github.com/cespare/xxhash/v2"

// rememberedAnswers is how many answers of a connection are remembered by what they handed out. A
// surplus answer comes where the next one is due.
const rememberedAnswers = 8

// Handed is a name that an answer hands out for something that a call has asked for. No replica
// hands out one name for two things.
type Handed struct {
	Name string
	For  string // what it names
}

// handedHash is a Handed by its hashes, which bounds what a connection remembers.
type handedHash struct{ name, thing uint64 }

// RecordHanded records what an answer on the connection hands out. It reports whether an earlier
// answer has handed out one of the names for something else: then the answer belongs to that
// earlier exchange, and nothing is recorded.
func (cn *Conn) RecordHanded(answer []Handed) (isSurplus bool) {
	hashes := make([]handedHash, 0, len(answer))
	for _, h := range answer {
		hashes = append(hashes, handedHash{name: xxhash.Sum64String(h.Name), thing: xxhash.Sum64String(h.For)})
	}
	for _, earlier := range cn.handed {
		if sharesName(earlier, hashes) {
			return true
		}
	}
	cn.handed = append(cn.handed, hashes)
	if len(cn.handed) > rememberedAnswers {
		cn.handed = append(cn.handed[:0], cn.handed[1:]...)
	}
	return false
}

// sharesName reports whether two answers hand out one name for two things.
func sharesName(earlier, answer []handedHash) bool {
	for _, e := range earlier {
		for _, a := range answer {
			if e.name == a.name && e.thing != a.thing {
				return true
			}
		}
	}
	return false
}
