package upstream

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"quinceroad/transport/answerhead"
)

// soundHead is the head of a whole answer to the request of these tests.
const soundHead = "HTTP/1.1 200 OK\r\n" + ownID + "Content-Length: 2\r\n\r\n"

// Guards against MIXED: a head whose status was 000, or whose bytes are not those of a head otherwise, was
// repaired by the parser and taken for one of an answer. Nothing is learned of it, and its connection ends.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	heads := map[string]answerhead.Reason{
		strings.Replace(soundHead, "200", "000", 1):                                                    answerhead.Status,
		"HTTP/1.1 100 Continue\r\n\r\n" + strings.Replace(soundHead, "200", "000", 1):                  answerhead.Status,
		"HTTP/1.1 100 Continue\r\nX y: 1\r\n\r\n" + soundHead:                                          answerhead.FieldName,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n" + soundHead:                                         answerhead.Switch,
		strings.Replace(soundHead, "200", "700", 1):                                                    answerhead.Status,
		strings.Replace(soundHead, "1.1", "9.9", 1):                                                    answerhead.Version,
		strings.Replace(soundHead, "OK", "O\x01K", 1):                                                  answerhead.ReasonPhrase,
		strings.Replace(soundHead, "X-Own", "X y: 1\r\nX-Own", 1):                                      answerhead.FieldName,
		strings.Replace(soundHead, "Content-Length", "Content-Length ", 1):                             answerhead.FieldName,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno" + strings.Replace(soundHead, "200", "000", 1): answerhead.Status,
	}
	for head, want := range heads {
		is := is.New(t)
		conn := &pausingConn{parts: []string{head + "ok"}}
		client := New()
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("http://replica/")
		x, err := client.wrap("replica", conn).Begin(newDispatchToken(t), req)
		is.NoErr(err)
		err = x.ReadHead(func(h *fasthttp.ResponseHeader) bool {
			isOwn := len(h.Peek("X-Own")) > 0
			if isOwn {
				t.Errorf("%q: is asked about", head)
			}
			return isOwn
		})
		got, _ := answerhead.ReasonOf(err)
		is.Equal(got, want)
		x.Release(time.Minute)
		is.True(conn.closed)
		is.Equal(len(client.idle["replica"]), 0)
	}
}

// Guards against MIXED: the same in an answer to a call of quince-entry.
func TestBrokenHeadIsNoAnswerToACall(t *testing.T) {
	is := is.New(t)
	c := &Call{Request: "r", Stage: "s", Attempt: 1, Deadline: time.Now().Add(time.Minute)}
	sound := tokensHead + "Content-Length: 2\r\n\r\nok"
	a, err := New().wrap("replica", &pausingConn{parts: []string{sound}}).Do(newDispatchToken(t), c)
	is.NoErr(err)
	is.Equal(a.Status, fasthttp.StatusOK)
	for _, head := range []string{strings.Replace(sound, "200", "000", 1), strings.Replace(sound, "\r\n", "\r\nX y: 1\r\n", 1)} {
		conn := &pausingConn{parts: []string{head}}
		_, err := New().wrap("replica", conn).Do(newDispatchToken(t), c)
		_, isBroken := answerhead.ReasonOf(err)
		is.True(isBroken)
		is.True(conn.closed)
	}
}

// Lines of chunks are read by the standard library, which takes what is no length for the end of the answer.
func TestBrokenChunkIsNoBody(t *testing.T) {
	const head, end = "HTTP/1.1 200 OK\r\n" + ownID + "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"
	chunks := map[string]bool{ // whether they are sound
		"2\r\nok\r\n" + end:                   true,
		"02\r\nok\r\n" + end:                  true,
		"2;x=1\r\nok\r\n" + end:               true,
		"2;x=\"a\"\r\nok\r\n" + end:           true,
		"+2\r\nok\r\n" + end:                  false,
		"-2\r\nok\r\n" + end:                  false,
		"0x2\r\nok\r\n" + end:                 false,
		" 2\r\nok\r\n" + end:                  false,
		"2 2\r\nok\r\n" + end:                 false,
		"g\r\nok\r\n" + end:                   false,
		"\r\nok\r\n" + end:                    false,
		";x\r\nok\r\n" + end:                  false,
		"2\nok\r\n" + end:                     false,
		"2\r\nok\n" + end:                     false,
		"2\r\nok" + end:                       false,
		"2\r\nokay\r\n" + end:                 false,
		"3\r\nok\r\n" + end:                   false,
		"10000000000000002\r\nok\r\n" + end:   false,
		"\x002\r\nok\r\n" + end:               false,
		"2\r\nok\r\n0\n\n":                    false,
		"2\r\nok\r\n" + "HTTP/1.1 200 OK\r\n": false,
	}
	for text, isSound := range chunks {
		x, err := ask(t, &pausingConn{parts: []string{head + text}})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(x)
		if (err == nil && x.IsComplete()) != isSound || isSound && string(body) != "ok" {
			t.Errorf("%q: %q, %v", text, body, err)
		}
	}
}
