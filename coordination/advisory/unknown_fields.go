package advisory

import (
	"strings"
	"unicode"
)

// UnknownFields remembers the unknown fields that replicas send, by service, so that
// each is logged once. It is not safe for concurrent use.
type UnknownFields struct {
	maxFields int
	seen      map[unknownField]bool
}

type unknownField struct{ service, name string }

const (
	maxUnknownFields = 128 // fields of all services; a bound against a replica that invents names
	maxNameLength    = 64  // bytes
	replacement      = '?' // for unprintable characters in log lines
)

// NewUnknownFields returns an empty set.
func NewUnknownFields() *UnknownFields {
	return &UnknownFields{maxFields: maxUnknownFields, seen: make(map[unknownField]bool)}
}

// Record adds an unknown field. It returns the name in printable form, and whether it
// is new.
func (u *UnknownFields) Record(service, name string) (shown string, isNew bool) {
	field := unknownField{service: service, name: printable(name)}
	if u.seen[field] || len(u.seen) >= u.maxFields {
		return field.name, false
	}
	u.seen[field] = true
	return field.name, true
}

// printable truncates a name and replaces its unprintable characters.
func printable(name string) string {
	if len(name) > maxNameLength {
		name = name[:maxNameLength]
	}
	return strings.Map(func(r rune) rune {
		if r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return replacement
		}
		return r
	}, name)
}
