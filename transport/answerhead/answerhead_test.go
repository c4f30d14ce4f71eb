package answerhead

import (
	"bufio"
	"errors"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// grammar is that of a head, over its bytes as characters: RFC 9112, 4 and 5; RFC 9110, 5.5 and 5.6.2.
var grammar = regexp.MustCompile(`\AHTTP/1\.[01] ([1-5][0-9]{2})(?: [\t -~\x{80}-\x{ff}]*)?\r\n` +
	"((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t -~\\x{80}-\\x{ff}]*\r\n)*)\r\n\\z")

// The fields that frame a body, with their values.
var (
	lengthField   = regexp.MustCompile(`(?i)(?:^|\n)Content-Length:[\t ]*([^\r]*?)[\t ]*\r`)
	codingField   = regexp.MustCompile(`(?i)(?:^|\n)Transfer-Encoding:[\t ]*([^\r]*?)[\t ]*\r`)
	encodingField = regexp.MustCompile(`(?i)(?:^|\n)Content-Encoding:`)
	number        = regexp.MustCompile(`\A[0-9]{1,18}\z`)
)

// characters returns a string with a character for each byte, as the grammar reads it.
func characters(head string) string {
	var b strings.Builder
	for _, c := range []byte(head) {
		b.WriteRune(rune(c))
	}
	return b.String()
}

// isAnswer reports whether a text is the head of an answer by the grammar, whose body can be framed in one
// way only (RFC 9112, 6.1 and 6.3) and has no encoding, and which goes on in the same protocol.
func isAnswer(head string) (status int, ok bool) {
	parts := grammar.FindStringSubmatch(characters(head))
	if parts == nil {
		return 0, false
	}
	fields := parts[2]
	lengths, codings := lengthField.FindAllStringSubmatch(fields, -1), codingField.FindAllStringSubmatch(fields, -1)
	for _, l := range lengths {
		if !number.MatchString(l[1]) {
			return 0, false
		}
	}
	for _, c := range codings {
		if !strings.EqualFold(c[1], "chunked") || strings.HasPrefix(head, "HTTP/1.0") {
			return 0, false
		}
	}
	if encodingField.MatchString(fields) {
		return 0, false
	}
	status, _ = strconv.Atoi(parts[1])
	return status, len(lengths)+len(codings) <= 1 && status != http.StatusSwitchingProtocols
}

// drawHead draws a head that is sound in most of its parts or, every other time, has no odd part.
func drawHead(t *rapid.T) string {
	mayBeOdd := rapid.Bool().Draw(t, "may be odd")
	pick := func(label string, values ...string) string { return rapid.SampledFrom(values).Draw(t, label) }
	odd := func(label, sound string, values ...string) string {
		if !mayBeOdd || rapid.IntRange(0, 9).Draw(t, label+" is odd") > 0 {
			return sound
		}
		return pick(label, append(values, "", " ", "\t", "\x00", "\x7f", "\xe9", "\r", "\n", ":", "0")...)
	}
	end := func() string { return odd("line end", "\r\n", "\n", "\r", "\r\r\n", "\n\r\n") }
	var b strings.Builder
	b.WriteString(odd("before", "", "\r\n"))
	b.WriteString(odd("version", pick("sound version", "HTTP/1.1", "HTTP/1.0", "HTTP/1.1"), "HTTP/1.2", "HTTP/2.0", "HTTP/0.9", "HTTP/1.10", "http/1.1", "HTTP/ 1.1", "ICY"))
	b.WriteString(odd("gap", " ", "  "))
	b.WriteString(odd("status", pick("sound status", "200", "204", "503", "599", "100", "103"), "000", "099", "101", "600", "999", "20", "2000", "+20", "-01", "2o0", "1e2"))
	b.WriteString(odd("reason", pick("sound reason", " OK", " ", "", " so so"), " O\x01K", " O\rK", "\tOK"))
	b.WriteString(end())
	for range rapid.IntRange(0, 4).Draw(t, "fields") {
		b.WriteString(odd("name", pick("sound name", "Some-Id", "X", "x~1", "Content-Length", "Transfer-Encoding"), "Content-Encoding", "content-encoding", "X y", "X\x02y", "Xy ", " Xy", "Content Length", "X(y)", "X\x80"))
		b.WriteString(odd("colon", ":", " :", "::"))
		b.WriteString(odd("blank", " ", "  "))
		b.WriteString(odd("value", pick("sound value", "a", "5", "chunked", "Chunked", "a b"), "05", "+5", "5, 5", "99999999999999999999", "999999999999999999", "gzip, chunked", "a\r\n b", "a\rb"))
		b.WriteString(end())
	}
	b.WriteString(odd("last line", "\r\n", "\n"))
	return b.String()
}

// A head is accepted exactly if the grammar says that it is one.
func TestHeadsAreJudgedByTheGrammar(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		head := drawHead(t)
		if holdsEarlierEnd(head) {
			return
		}
		status, isSound := isAnswer(head)
		got, err := Check([]byte(head))
		if (err == nil) != isSound {
			t.Fatalf("%q: %v, by the grammar sound: %v", head, err, isSound)
		}
		if !isSound {
			return
		}
		accepted++
		if got.Status != status || got.Bytes != len(head) {
			t.Fatalf("%q: %+v, but status %d, %d bytes", head, got, status, len(head))
		}
		requireParsersAgree(t, head, status)
	})
	is.New(t).True(accepted > 10) // of a hundred or more
}

// holdsEarlierEnd reports whether a head ends before its end, so that the rest is no part of it.
func holdsEarlierEnd(head string) bool {
	i := strings.Index(head, "\r\n\r\n")
	return i >= 0 && i+len("\r\n\r\n") < len(head)
}

// framingFields are those that the parsers add, drop or tell of otherwise.
var framingFields = []string{"Content-Length", "Content-Type", "Transfer-Encoding", "Connection"}

type failer interface {
	Fatalf(format string, args ...any)
}

// requireParsersAgree fails the test if the parsers that read a head which was accepted find something else
// in it: another status, other fields, another length, another end.
func requireParsersAgree(t failer, head string, status int) {
	const after = "the body"
	r := bufio.NewReader(strings.NewReader(head + after))
	if _, err := Await(r); err != nil {
		t.Fatalf("%q: awaited: %v", head, err)
	}
	var fast fasthttp.ResponseHeader
	fast.DisableNormalizing()
	if err := fast.Read(r); err != nil {
		t.Fatalf("%q: fasthttp: %v", head, err)
	}
	if rest, _ := io.ReadAll(r); string(rest) != after {
		t.Fatalf("%q: fasthttp leaves %q", head, rest)
	}
	if fast.StatusCode() != status {
		t.Fatalf("%q: fasthttp: status %d", head, fast.StatusCode())
	}
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+after)), nil)
	if err != nil {
		t.Fatalf("%q: net/http: %v", head, err)
	}
	if resp.StatusCode != status {
		t.Fatalf("%q: net/http: status %d", head, resp.StatusCode)
	}
	if isFinal := status >= firstFinalStatus && status != http.StatusNoContent && status != http.StatusNotModified; isFinal {
		length := int64(fast.ContentLength())
		isChunked := length == -1
		if isChunked != slices.Contains(resp.TransferEncoding, "chunked") || length >= 0 && length != resp.ContentLength {
			t.Fatalf("%q: length %d, or %d and %v", head, length, resp.ContentLength, resp.TransferEncoding)
		}
	}
	got := make(http.Header)
	for name, value := range fast.All() {
		got.Add(string(name), string(value))
	}
	for _, name := range framingFields {
		delete(got, name)
		delete(resp.Header, name)
	}
	if !maps.EqualFunc(got, resp.Header, slices.Equal) {
		t.Fatalf("%q: fields %q, or %q", head, got, resp.Header)
	}
}

// Each reason, and heads just beside the border.
func TestReasons(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := map[string]Reason{
		ok + "\r\n":                                             "",
		"HTTP/1.0 200 OK\r\n\r\n":                               "",
		"HTTP/1.1 200 \r\n\r\n":                                 "",
		"HTTP/1.1 200\r\n\r\n":                                  "",
		"HTTP/1.1 200 \xe9t\xe9\t!\r\n\r\n":                     "",
		"HTTP/1.1 100 Continue\r\n\r\n":                         "",
		"HTTP/1.1 599 x\r\n\r\n":                                "",
		ok + "X:\r\n\r\n":                                       "",
		ok + "X: \t a:b \t\r\n\r\n":                             "",
		ok + "X: \x80\xff\r\n\r\n":                              "",
		ok + "!#$%&'*+-.^_`|~9Az: 1\r\n\r\n":                    "",
		ok + "Content-Length:007\r\n\r\n":                       "",
		ok + "Content-Length: 999999999999999999\r\n\r\n":       "",
		ok + "Transfer-Encoding: Chunked\r\n\r\n":               "",
		"HTTP/1.1 200 OK\n\n":                                   LineEnd,
		ok + "X: 1\n\r\n":                                       LineEnd,
		ok + "\n":                                               LineEnd,
		ok + "X: 1\r\r\n\r\n":                                   FieldValue,
		ok + "X: 1\rY: 2\r\n\r\n":                               FieldValue,
		"\r\n" + ok + "\r\n":                                    StatusLine,
		" HTTP/1.1 200 OK\r\n\r\n":                              StatusLine,
		"GET / HTTP/1.1\r\n\r\n":                                StatusLine,
		"http/1.1 200 OK\r\n\r\n":                               StatusLine,
		"HTTP/1.1\r\n\r\n":                                      StatusLine,
		"HTTP/1.1  200 OK\r\n\r\n":                              StatusLine,
		"HTTP/1.1\t200 OK\r\n\r\n":                              Version,
		"HTTP/1.1 20 OK\r\n\r\n":                                StatusLine,
		"HTTP/1.1 2000 OK\r\n\r\n":                              StatusLine,
		"HTTP/1.1 +20 OK\r\n\r\n":                               StatusLine,
		"HTTP/1.1 -01 OK\r\n\r\n":                               StatusLine,
		"HTTP/1.1 2x0 OK\r\n\r\n":                               StatusLine,
		"HTTP/1.1 200\tOK\r\n\r\n":                              StatusLine,
		"HTTP/9.9 200 OK\r\n\r\n":                               Version,
		"HTTP/2.0 200 OK\r\n\r\n":                               Version,
		"HTTP/0.9 200 OK\r\n\r\n":                               Version,
		"HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n": Version,
		"HTTP/1.10 200 OK\r\n\r\n":                              Version,
		"HTTP/1.x 200 OK\r\n\r\n":                               Version,
		"HTTP/1 200 OK\r\n\r\n":                                 Version,
		"HTTP/1.1 000 OK\r\n\r\n":                               Status,
		"HTTP/1.1 099 OK\r\n\r\n":                               Status,
		"HTTP/1.1 600 OK\r\n\r\n":                               Status,
		"HTTP/1.1 999 OK\r\n\r\n":                               Status,
		"HTTP/1.1 101 Switching\r\n\r\n":                        Switch,
		"HTTP/1.1 200 O\x01K\r\n\r\n":                           ReasonPhrase,
		"HTTP/1.1 200 O\rK\r\n\r\n":                             ReasonPhrase,
		"HTTP/1.1 200 O\x7fK\r\n\r\n":                           ReasonPhrase,
		ok + " X: 1\r\n\r\n":                                    FoldedLine,
		ok + "X: 1\r\n\t2\r\n\r\n":                              FoldedLine,
		ok + "X y: 1\r\n\r\n":                                   FieldName,
		ok + "X\ty: 1\r\n\r\n":                                  FieldName,
		ok + "X\x02y: 1\r\n\r\n":                                FieldName,
		ok + "X\x7fy: 1\r\n\r\n":                                FieldName,
		ok + "X\xe9y: 1\r\n\r\n":                                FieldName,
		ok + "X(y): 1\r\n\r\n":                                  FieldName,
		ok + "Xy : 1\r\n\r\n":                                   FieldName,
		ok + "Content-Length : 5\r\n\r\n":                       FieldName,
		ok + "Content Length: 5\r\n\r\n":                        FieldName,
		ok + "Transfer-Encoding : chunked\r\n\r\n":              FieldName,
		ok + ": 1\r\n\r\n":                                      FieldName,
		ok + "nothing\r\n\r\n":                                  FieldName,
		ok + "X: \x00\r\n\r\n":                                  FieldValue,
		ok + "X: \x7f\r\n\r\n":                                  FieldValue,
		ok + "Content-Length: \r\n\r\n":                         Length,
		ok + "Content-Length: +5\r\n\r\n":                       Length,
		ok + "Content-Length: -5\r\n\r\n":                       Length,
		ok + "Content-Length: 0x5\r\n\r\n":                      Length,
		ok + "Content-Length: 5, 5\r\n\r\n":                     Length,
		ok + "Content-Length: 1000000000000000000\r\n\r\n":      Length,
		ok + "Content-Length: 5\r\ncontent-length: 5\r\n\r\n":   Length,
		ok + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n":   Length,
		ok + "Transfer-Encoding: gzip, chunked\r\n\r\n":         Coding,
		ok + "Transfer-Encoding: chun\u212aed\r\n\r\n":          Coding, // a Kelvin sign, which folds to k
		ok + "Transfer-Encoding: identity\r\n\r\n":              Coding,
		ok + "Transfer-Encoding:\r\n\r\n":                       Coding,
		ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n": Coding,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                 Coding,
		ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n":          LengthAndChunks,
		ok + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n":          LengthAndChunks,
		ok + "content-encoding: gzip\r\n\r\n":                                   Encoding,
		ok + "Content-Encoding: identity\r\n\r\n":                               Encoding,
	}
	for head, want := range cases {
		_, err := Check([]byte(head))
		got, _ := ReasonOf(err)
		if got != want || (err == nil) != (want == "") {
			t.Errorf("%q: %v, not %q", head, err, want)
		}
		if want == "" {
			requireParsersAgree(t, head, mustStatus(t, head))
		}
	}
}

func mustStatus(t *testing.T, head string) int {
	status, ok := isAnswer(head)
	if !ok {
		t.Fatalf("%q is none by the grammar", head)
	}
	return status
}

// A head is judged as it arrives: what is broken is refused without the rest, and nothing is consumed.
func TestAwaitJudgesWhatHasArrived(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 204 No Content\r\nX: 1\r\n\r\n"
	r := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(head+"rest")), 64)
	got, err := Await(r)
	is.NoErr(err)
	is.Equal(got, Head{Bytes: len(head), Status: 204})
	all, err := io.ReadAll(r)
	is.NoErr(err)
	is.Equal(string(all), head+"rest")

	neverEnds := iotest.ErrReader(errors.New("read on after a line that says all"))
	for _, line := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX y: 1\r\n", "HTTP/1.1 200 OK\n"} {
		_, err := Await(bufio.NewReader(io.MultiReader(strings.NewReader(line), neverEnds)))
		_, isBroken := ReasonOf(err)
		is.True(isBroken)
	}
}

// The end of a reader, and a head that is too long.
func TestAwaitOfNoWholeHead(t *testing.T) {
	is := is.New(t)
	_, err := Await(bufio.NewReader(strings.NewReader("")))
	is.Equal(err, io.EOF)
	_, err = Await(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nX: 1\r\n")))
	is.Equal(err, io.ErrUnexpectedEOF)
	_, err = Await(bufio.NewReader(iotest.ErrReader(io.ErrClosedPipe)))
	is.Equal(err, io.ErrClosedPipe)
	_, err = Await(bufio.NewReaderSize(strings.NewReader("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 100)), 64))
	reason, _ := ReasonOf(err)
	is.Equal(reason, TooLong)
	const fits = "HTTP/1.1 200 OK\r\n\r\n"
	_, err = Await(bufio.NewReaderSize(strings.NewReader(fits), len(fits)))
	is.NoErr(err)
}

// Bytes of any kind are judged as the grammar does, and the parsers read the same in what is accepted.
func FuzzCheck(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX y: 1\r\n\r\n",
		"HTTP/1.0 200\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		head, err := Check(data)
		if err == nil {
			data = data[:head.Bytes]
		}
		if holdsEarlierEnd(string(data)) {
			return
		}
		status, isSound := isAnswer(string(data))
		if (err == nil) != isSound || isSound && head.Status != status {
			t.Fatalf("%q: %+v, %v, by the grammar sound: %v", data, head, err, isSound)
		}
		if isSound {
			requireParsersAgree(t, string(data), status)
		}
	})
}
