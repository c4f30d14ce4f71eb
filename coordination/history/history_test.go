package history

import (
	"testing"

	"github.com/matryer/is"
)

// A point of a later era comes later, whatever the revisions.
func TestErasOrderPointsFirst(t *testing.T) {
	is := is.New(t)
	ordered := []Point{{}, {0, 5}, {0, 90}, {1, 2}, {1, 3}, {7, 1}}
	for i, p := range ordered {
		for j, q := range ordered {
			is.Equal(p.Before(q), i < j)
			is.Equal(p.After(q), i > j)
			is.Equal(p.Compare(q) == 0, i == j)
			is.Equal(Latest(p, q), ordered[max(i, j)])
		}
		is.Equal(p.IsZero(), i == 0)
	}
}
