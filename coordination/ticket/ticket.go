// Package ticket signs and verifies the prefixes under which clients number requests
// that must run at most once. A prefix names the one ledger incarnation that may start
// its numbers; see docs/design/at-most-once.md.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strconv"
	"strings"
	"time"
)

const (
	version  = 1
	macBytes = 16
	// MaxLen is the maximum length of a ticket in bytes, so that hostile headers are cheap
	// to reject.
	MaxLen = 512
)

// The errors of Parse.
var (
	ErrForm = errors.New("ticket: not of the form PREFIX.NUMBER")
	ErrMAC  = errors.New("ticket: not issued here, or its key has been retired")
)

// Prefix is the ticket prefix that a client gets with an address response.
type Prefix struct {
	Home        string        // instance whose ledger owns the numbers
	Incarnation uint64        // incarnation of that ledger
	Nonce       uint64        // distinguishes the numbers of different prefixes
	Issued      time.Duration // time since the ledger's start on its monotonic clock, in whole milliseconds
	Customer    string        // the only customer that may use it
}

// Keys are the signing keys. The first one signs and all of them verify, so that a key
// can be rotated while old tickets are still valid.
type Keys [][]byte

// Mint returns the signed text of a prefix.
func (k Keys) Mint(p Prefix) string {
	raw := p.encode()
	return base64.RawURLEncoding.EncodeToString(append(raw, computeMAC(k[0], raw)...))
}

// Parse verifies a ticket of the form "PREFIX.NUMBER" and returns its parts.
func (k Keys) Parse(text string) (Prefix, uint64, error) {
	head, tail, ok := strings.Cut(text, ".")
	if !ok || len(text) > MaxLen {
		return Prefix{}, 0, ErrForm
	}
	number, err := strconv.ParseUint(tail, 10, 64)
	if err != nil || strconv.FormatUint(number, 10) != tail {
		return Prefix{}, 0, ErrForm
	}
	p, err := k.ParsePrefix(head)
	return p, number, err
}

// ParsePrefix verifies a prefix without a number.
func (k Keys) ParsePrefix(text string) (Prefix, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= macBytes {
		return Prefix{}, ErrForm
	}
	body, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	for _, key := range k {
		if hmac.Equal(mac, computeMAC(key, body)) {
			return decode(body)
		}
	}
	return Prefix{}, ErrMAC
}

// Key returns the ledger key of a numbered request.
func Key(p Prefix, number uint64) string {
	b := make([]byte, 0, 24)
	b = binary.BigEndian.AppendUint64(b, p.Incarnation)
	b = binary.BigEndian.AppendUint64(b, p.Nonce)
	b = binary.BigEndian.AppendUint64(b, number)
	return base64.RawURLEncoding.EncodeToString(b)
}

func computeMAC(key, body []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write(body)
	return m.Sum(nil)[:macBytes]
}

func (p Prefix) encode() []byte {
	b := []byte{version}
	b = binary.BigEndian.AppendUint64(b, p.Incarnation)
	b = binary.BigEndian.AppendUint64(b, p.Nonce)
	b = binary.BigEndian.AppendUint64(b, uint64(p.Issued.Milliseconds()))
	b = append(b, byte(len(p.Home)))
	b = append(b, p.Home...)
	return append(b, p.Customer...)
}

func decode(b []byte) (Prefix, error) {
	const fixed = 1 + 3*8 + 1
	if len(b) < fixed || b[0] != version || len(b) < fixed+int(b[fixed-1]) {
		return Prefix{}, ErrForm
	}
	home := b[fixed : fixed+int(b[fixed-1])]
	return Prefix{
		Incarnation: binary.BigEndian.Uint64(b[1:]),
		Nonce:       binary.BigEndian.Uint64(b[9:]),
		Issued:      time.Duration(binary.BigEndian.Uint64(b[17:])) * time.Millisecond,
		Home:        string(home),
		Customer:    string(b[fixed+len(home):]),
	}, nil
}
