package web

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"quinceroad/transport/answerhead"
	"quinceroad/transport/endlesstest"
)

// BOUND: whatever a server sends without end, a client reads little of it, fails the call and closes
// the connection. The library's own limits hold the head and the chunks; it fills the buffer of an earlier
// body before it looks at the limit of one without a length.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		conn *endlesstest.Conn
		most int // bytes that are read at most, besides endlesstest.ReadAhead
	}{
		"no line end":          {endlesstest.New("", endlesstest.Text), 0},
		"header line":          {endlesstest.New(head+"A: ", endlesstest.Text), 0},
		"header lines":         {endlesstest.New(head, "A: b\r\n"), 0},
		"interim answers":      {endlesstest.New("", "HTTP/1.1 100 Continue\r\n\r\n"), 0},
		"great length":         {endlesstest.New(head+"Content-Length: 1000000000000\r\n\r\n", endlesstest.Text), 0},
		"no length":            {endlesstest.New(head+"\r\n", endlesstest.Text), 2 * maxAnswerBytes},
		"great chunk":          {endlesstest.New(chunked+"fffffffffff\r\n", endlesstest.Text), maxAnswerBytes},
		"chunks":               {endlesstest.New(chunked, "8000\r\n"+endlesstest.Text+"\r\n"), maxAnswerBytes},
		"length of a chunk":    {endlesstest.New(chunked+"1", "0"), 0},
		"extension of a chunk": {endlesstest.New(chunked+"1;", endlesstest.Text), 0},
		"trailers":             {endlesstest.New(chunked+"0\r\n", "A: b\r\n"), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := NewClient()
			client.DialTimeout = func(string, time.Duration) (net.Conn, error) { return answerhead.NewConn(c.conn), nil }
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://server/x")
			err := client.DoTimeout(req, resp, time.Minute)
			t.Logf("%d bytes read, %v", c.conn.BytesRead(), err)
			is.True(err != nil)
			is.True(c.conn.IsClosed())
			is.True(c.conn.BytesRead() <= c.most+endlesstest.ReadAhead)
		})
	}
}
