package stated

import (
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Three words of replicas cost requests before anybody noticed that nobody reads
// them: each word is said once, whatever its name is made of, and no replica can
// fill the memory.
func TestAWordThatNobodyReadsIsSaidOnce(t *testing.T) {
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
	is.True(len(name) <= longestWord)
	for i := range 10 * mostUnread {
		u.Record("desk", strconv.Itoa(i))
	}
	is.Equal(len(u.known), mostUnread)
}
