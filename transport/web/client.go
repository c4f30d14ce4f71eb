package web

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/transport/answerhead"
)

const (
	clientIdleTimeout = 5 * time.Second // after a longer time another process may listen on the address
	// maxAnswerBytes is the size of the longest body of an answer, which is read as a whole.
	maxAnswerBytes = 16 << 20
)

// NewClient returns an HTTP client that sends each request once. By default the
// library resends a PUT whose connection was closed without an answer; retries
// are left to the callers.
func NewClient() *fasthttp.Client {
	return &fasthttp.Client{
		DialTimeout:               Dial,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       clientIdleTimeout,
		MaxResponseBodySize:       maxAnswerBytes,
	}
}

// Dial opens a connection for a client of the library. The library's parser of answers is lenient, so the head
// of each answer is judged before; a broken one fails its call with an answerhead.Error. A call without a
// timeout has 0, with which the library's own applies.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = fasthttp.DefaultDialTimeout
	}
	c, err := fasthttp.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	return answerhead.NewConn(c), nil
}
