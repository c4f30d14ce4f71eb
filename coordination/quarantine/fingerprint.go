package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"quinceroad/state/catalog"
)

// Fingerprint identifies a feature of requests: a whole request as its caller repeats it, or
// a part that requests share. The fingerprints of different features do not collide in practice.
type Fingerprint uint64

// String returns the hexadecimal form used in logs and by operators.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint parses the form returned by String.
func ParseFingerprint(s string) (Fingerprint, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	return Fingerprint(v), err
}

// FingerprintOf returns the fingerprint of a customer's whole request by what stays the same
// when its caller repeats it; target is its path and query. What differs between attempts, like
// ids, deadlines and the offset from which a stream resumes, is not included. It is a truncated
// cryptographic hash, which prevents callers from forging a request that is mistaken for
// another customer's.
func FingerprintOf(customer, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{customer, method, host, target} {
		var length [8]byte // length prefix: distinguishes "ab", "c" from "a", "bc"
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// maxPartsPerRequest bounds the parts of one prompt that are tracked. Prompts have a few parts;
// a caller can list a thousand.
const maxPartsPerRequest = 64

// PartFingerprints returns the fingerprints of the parts that a request to a service shares
// with others, each once: all but the last part of its prompt, which is its own. The customer
// is not included, as a part crashes replicas whoever sends it.
func PartFingerprints(service string, shared []catalog.PromptPart) []Fingerprint {
	var out []Fingerprint
	for _, p := range shared {
		if len(out) == maxPartsPerRequest {
			break
		}
		if f := sharedFingerprint("part", service, strings.ToLower(p.ID)); !slices.Contains(out, f) {
			out = append(out, f)
		}
	}
	return out
}

// KeyFingerprint returns the fingerprint of the key of items that a customer's requests share.
func KeyFingerprint(customer, key string) Fingerprint {
	return sharedFingerprint("key", customer, key)
}

// sharedFingerprint needs no cryptographic hash: a caller that wants to be taken for a user of
// another's part can name that part itself.
func sharedFingerprint(what, scope, name string) Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(what + "\x00" + scope + "\x00" + name)
	return Fingerprint(h.Sum64())
}
