package pack

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("[[customer]]\n", 1000)
	b, err := Text(text)
	is.NoErr(err)
	is.True(len(b) < len(text)/10)
	got, err := Open(b)
	is.NoErr(err)
	is.Equal(string(got), text)
}

func TestRefusesWhatGrowsTooLarge(t *testing.T) {
	is := is.New(t)
	b, err := Text(strings.Repeat("x", MaxText+1))
	is.NoErr(err)
	_, err = Open(b)
	is.Equal(err, ErrTooLarge)
	_, err = Open([]byte("not packed"))
	is.True(err != nil)
}
