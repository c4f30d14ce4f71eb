package event

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestEventsPageIsCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)
	is.Equal(string(page), Markdown()) // go run ./protocol/event/page > docs/EVENTS.md
}

func TestEventNumbersAreUnique(t *testing.T) {
	is := is.New(t)
	seen := map[int]bool{}
	for _, e := range All() {
		is.True(!seen[e.Number]) // number is unique
		seen[e.Number] = true
		is.True(e.Meaning != "" && e.Action != "") // has explanations
	}
}
