package upstream

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// brokenConn is a connection that ends with an error after some bytes.
type brokenConn struct {
	net.Conn
	bytes string
	err   error
}

func (c *brokenConn) Read(b []byte) (int, error) {
	if c.bytes == "" {
		return 0, c.err
	}
	n := copy(b, c.bytes)
	c.bytes = c.bytes[n:]
	return n, nil
}

func (c *brokenConn) Write(b []byte) (int, error) { return len(b), nil }

func (c *brokenConn) Close() error { return nil }

// Guards against MIXED of review/2: the error of a connection that broke off wrapped io.EOF, and
// the part of an answer that had come was taken for all of it, however the answer was framed.
func TestErrorThatWrapsEOFIsNoEndOfAnAnswer(t *testing.T) {
	heads := map[string]string{
		"ends with its connection": "HTTP/1.1 200 OK\r\n\r\npart",
		"a length":                 "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart",
		"chunks":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"a part of a chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\npart",
		"chunks without the end":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := New().wrap("replica", &brokenConn{bytes: head, err: errors.Join(errors.New("broke off"), io.EOF)})
			req := fasthttp.AcquireRequest()
			req.SetRequestURI("http://replica/")
			x, err := conn.Begin(newDispatchToken(t), req)
			is.NoErr(err)
			is.NoErr(x.ReadHead(func(*fasthttp.ResponseHeader) bool { return true }))
			_, err = io.ReadAll(x)
			is.True(err != nil)
			is.True(!x.IsComplete())
		})
	}
}
