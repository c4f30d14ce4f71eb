package web

import (
	"time"

	"github.com/valyala/fasthttp"
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
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       clientIdleTimeout,
		MaxResponseBodySize:       maxAnswerBytes,
	}
}
