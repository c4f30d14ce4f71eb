package ticket

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var keys = Keys{[]byte("0123456789abcdef")}

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	p := Prefix{Home: "hall-a-1", Incarnation: 7, Nonce: 9, Issued: 1500 * time.Millisecond, Customer: "town-council"}
	got, n, err := keys.Parse(keys.Mint(p) + ".42")
	is.NoErr(err)
	is.Equal(n, uint64(42))
	is.Equal(got, p)
}

func TestRotation(t *testing.T) {
	is := is.New(t)
	old := keys.Mint(Prefix{Home: "h"})
	next := Keys{[]byte("another key of 16"), keys[0]}
	_, err := next.ParsePrefix(old)
	is.NoErr(err) // both keys are valid during a rotation
	_, err = next[:1].ParsePrefix(old)
	is.Equal(err, ErrMAC) // retired
}

func TestNumberHasOneForm(t *testing.T) {
	is := is.New(t)
	p := keys.Mint(Prefix{Home: "h"})
	for _, n := range []string{"", "01", "+1", "-1", "1 ", "18446744073709551616", "1.1"} {
		_, _, err := keys.Parse(p + "." + n)
		is.Equal(err, ErrForm) // a second spelling would give one number two ledger keys
	}
}

// Only minted prefixes are accepted, and only in their canonical spelling.
func FuzzParse(f *testing.F) {
	good := keys.Mint(Prefix{Home: "h", Incarnation: 1, Nonce: 2, Customer: "c"})
	f.Add(good + ".1")
	f.Add(strings.ToUpper(good) + ".1")
	f.Add("AAAA.1")
	f.Fuzz(func(t *testing.T, text string) {
		p, n, err := keys.Parse(text)
		if err != nil {
			return
		}
		head, _, _ := strings.Cut(text, ".")
		if keys.Mint(p) != head {
			t.Fatalf("%q is not the canonical spelling, number %d", text, n)
		}
	})
}
