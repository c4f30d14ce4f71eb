package advisory

import (
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Replicas sent three fields that no code read, and requests were lost before anybody
// noticed. Each unknown field is reported once, whatever its name consists of, and no
// replica can exhaust the memory with them.
func TestAnUnknownFieldIsReportedOnce(t *testing.T) {
	is := is.New(t)
	u := NewUnknownFields()
	name, isNew := u.Record("desk", "Server-Mood")
	is.Equal(name, "Server-Mood")
	is.True(isNew)
	_, isNew = u.Record("desk", "Server-Mood")
	is.True(!isNew)
	_, isNew = u.Record("llm", "Server-Mood")
	is.True(isNew)
	name, _ = u.Record("desk", "a\nb\x00\xff"+strings.Repeat("x", 10_000))
	is.True(strings.HasPrefix(name, "a?b??x"))
	is.True(len(name) <= maxNameLength)
	for i := range 10 * maxUnknownFields {
		u.Record("desk", strconv.Itoa(i))
	}
	is.Equal(len(u.seen), maxUnknownFields)
}
