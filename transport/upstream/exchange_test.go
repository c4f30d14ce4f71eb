package upstream

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

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

// Guards against MIXED: a request that is still being written when its answer is reset takes the
// error of the reset, so that the reader sees what looks like an orderly end.
func TestResetThatTheWriterHearsOfIsNoEndOfAnAnswer(t *testing.T) {
	const tries = 100
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go answerPartAndReset(conn.(*net.TCPConn))
		}
	}()
	client := New()
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://replica/")
	req.SetBodyRaw(make([]byte, 8<<20)) // more than the buffers between the two take
	for range tries {
		conn, err := client.Dial(ln.Addr().String(), time.Second)
		is.NoErr(err)
		x, err := conn.Begin(newDispatchToken(t), req)
		is.NoErr(err)
		if x.ReadHead(func(*fasthttp.ResponseHeader) bool { return true }) != nil {
			continue // the reset came first
		}
		body, err := io.ReadAll(x)
		if err == nil {
			t.Fatalf("%q is taken for the whole answer", body)
		}
		x.Release(0)
	}
}

func answerPartAndReset(conn *net.TCPConn) {
	_, _ = conn.Read(make([]byte, 100))
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
	time.Sleep(2 * time.Millisecond) // a reset may overtake it
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
