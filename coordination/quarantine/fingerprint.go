package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// Fingerprint identifies a request by the parts that stay the same when a caller
// repeats it: customer, method, host, target and body. It is a truncated
// cryptographic hash, which prevents callers from forging a request that is
// mistaken for another customer's.
type Fingerprint uint64

// String returns the hexadecimal form used in logs and by operators.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint parses the form returned by String.
func ParseFingerprint(s string) (Fingerprint, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	return Fingerprint(v), err
}

// FingerprintOf returns the fingerprint of a customer's request; target is its path
// and query. Parts that differ between attempts, like ids, deadlines and the offset
// from which a stream resumes, are not included.
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
