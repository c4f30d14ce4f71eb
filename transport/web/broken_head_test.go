package web

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"quinceroad/transport/answerhead"
)

// Guards against failures that look like successes: a status of 000 was told as 200. The clients of the
// platform's first form, of the tools and of probes take a broken head for no answer.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	answers := map[string]answerhead.Reason{
		sound:                                         "",
		"HTTP/1.1 100 Continue\r\n\r\n" + sound:       "",
		strings.Replace(sound, "200", "000", 1):       answerhead.Status,
		strings.Replace(sound, "1.1", "9.9", 1):       answerhead.Version,
		strings.Replace(sound, "\r", "\r\nX y:\r", 1): answerhead.FieldName,
	}
	for answer, want := range answers {
		for _, timeout := range []time.Duration{0, time.Second} { // 0: none
			is := is.New(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(conn, answer)
			}()
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + ln.Addr().String() + "/")
			client := NewClient()
			if timeout == 0 {
				err = client.Do(req, resp)
			} else {
				err = client.DoTimeout(req, resp, timeout)
			}
			got, _ := answerhead.ReasonOf(err)
			if got != want || (err == nil) != (want == "") {
				t.Errorf("%q, timeout %v: %v, not %q", answer, timeout, err, want)
			}
			if err == nil {
				is.Equal(string(resp.Body()), "ok")
			}
			_ = ln.Close()
		}
	}
}
