package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

func TestFingerprintCoversRepeatedParts(t *testing.T) {
	is := is.New(t)
	f := FingerprintOf("c", "POST", "h", "/a?b=1", []byte("body"))
	is.Equal(f, FingerprintOf("c", "POST", "h", "/a?b=1", []byte("body")))
	for _, other := range []Fingerprint{
		FingerprintOf("d", "POST", "h", "/a?b=1", []byte("body")),
		FingerprintOf("c", "GET", "h", "/a?b=1", []byte("body")),
		FingerprintOf("c", "POST", "i", "/a?b=1", []byte("body")),
		FingerprintOf("c", "POST", "h", "/a?b=2", []byte("body")),
		FingerprintOf("c", "POST", "h", "/a?b=1", []byte("other")),
		FingerprintOf("cP", "OST", "h", "/a?b=1", []byte("body")),
	} {
		is.True(f != other)
	}
	read, err := ParseFingerprint(f.String())
	is.NoErr(err)
	is.Equal(read, f)
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 800)
	for b.Loop() {
		FingerprintOf("customer", "POST", "a.example", "/path/of/a/request", body)
	}
}
