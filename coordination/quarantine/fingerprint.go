package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// Fingerprint names a request by what a caller repeats of it: who asks, what
// for, and the body. It is cut from a cryptographic hash, so that nobody can
// make a request that is taken for another's.
type Fingerprint uint64

// String returns the fingerprint as logs and operators write it.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint reads what String wrote.
func ParseFingerprint(s string) (Fingerprint, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	return Fingerprint(v), err
}

// FingerprintOf returns the fingerprint of a customer's request; target is its
// path and query. What differs from one try to the next, like ids, deadlines and
// where a stream goes on, is not part of it.
func FingerprintOf(customer, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{customer, method, host, target} {
		var length [8]byte // keeps "ab", "c" from "a", "bc"
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}
