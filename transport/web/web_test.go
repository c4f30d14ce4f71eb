package web

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// A server that reads a PUT and closes the connection without answering receives
// it once.
func TestClientSendsOnce(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	var got atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if n, _ := c.Read(make([]byte, 4096)); n > 0 {
				got.Add(1)
			}
			_ = c.Close()
		}
	}()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod("PUT")
	req.SetRequestURI("http://" + ln.Addr().String() + "/x")
	req.SetBodyString("value")
	is.True(NewClient().DoTimeout(req, resp, time.Second) != nil)
	is.Equal(got.Load(), int32(1))
}
