package web

import (
	"time"

	"github.com/valyala/fasthttp"
)

const clientIdle = 5 * time.Second // a connection kept longer may be another process's

// NewClient returns an HTTP client that sends each request once: left to
// itself the library sends a PUT again whose connection closed unanswered.
// All retries are ours.
func NewClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       clientIdle,
	}
}
