package quarantine

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"quinceroad/state/catalog"
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

// Every part counts once and however it is spelled; the number of parts that a caller can have
// tracked is bounded.
func TestPartFingerprints(t *testing.T) {
	is := is.New(t)
	parts := func(ids ...string) (out []catalog.PromptPart) {
		for _, id := range ids {
			out = append(out, catalog.PromptPart{ID: id, Tokens: 10})
		}
		return out
	}
	two := PartFingerprints("llm", parts("5c1e", "91BD", "91bd", "5c1e"))
	is.Equal(len(two), 2)
	is.Equal(two[1], PartFingerprints("llm", parts("91bd"))[0])
	is.True(two[1] != PartFingerprints("other", parts("91bd"))[0])
	is.Equal(len(PartFingerprints("llm", nil)), 0)
	var many []string
	for i := range 1000 {
		many = append(many, strconv.Itoa(i))
	}
	is.Equal(len(PartFingerprints("llm", parts(many...))), maxPartsPerRequest)
}
