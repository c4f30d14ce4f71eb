package inflight

import (
	"testing"

	"github.com/matryer/is"
)

func TestCancelReachesTheRequestsUnderAKey(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	cancelled := make(map[string]int)
	count := func(name string) func() { return func() { cancelled[name]++ } }
	r.Add("a", count("first"))
	removeSecond := r.Add("a", count("second"))
	r.Add("b", count("other"))
	removeSecond()
	is.Equal(r.Cancel("a"), 1)
	is.Equal(r.Cancel("c"), 0)
	is.Equal(cancelled, map[string]int{"first": 1})
}
