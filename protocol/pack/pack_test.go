package pack

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("[[customer]]\n", 1000)
	b, err := Compress(text)
	is.NoErr(err)
	is.True(len(b) < len(text)/10)
	got, err := Decompress(b)
	is.NoErr(err)
	is.Equal(string(got), text)
}

func TestDecompressRejectsOversizedText(t *testing.T) {
	is := is.New(t)
	b, err := Compress(strings.Repeat("x", MaxTextSize+1))
	is.NoErr(err)
	_, err = Decompress(b)
	is.Equal(err, ErrTooLarge)
	_, err = Decompress([]byte("not packed"))
	is.True(err != nil)
}
