// Package web holds what all HTTP listeners share: JSON answers, the common error
// format, bearer tokens and recovery from panics.
package web

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"quinceroad/coordination/outcome"
	"quinceroad/protocol/api"
)

const (
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody = 1 << 20
	// maxReadBody is how many bytes of a body are read before the connection is
	// closed. It exceeds MaxBody because a client that is still writing when the
	// connection is closed would lose the error answer.
	maxReadBody  = 8 << 20
	readTimeout  = 30 * time.Second
	idleTimeout  = 60 * time.Second
	bearerPrefix = "Bearer "
)

// Server is a listening HTTP server.
type Server struct {
	http *fasthttp.Server
	ln   net.Listener
}

// Listen serves h on addr (IP:port). onPanic is called with the value of a
// handler's panic, which ends only the request that caused it.
func Listen(addr string, h fasthttp.RequestHandler, onPanic func(any)) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", addr)
	}
	s := &Server{ln: ln, http: &fasthttp.Server{
		Handler:               wrapHandler(h, onPanic),
		Name:                  "quinceroad",
		MaxRequestBodySize:    maxReadBody,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		ErrorHandler:          badRequest,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// discardLogger drops the library's own log lines; relevant failures are logged
// as events.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Stop refuses new connections and waits up to timeout for open ones.
func (s *Server) Stop(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		_ = s.http.Shutdown()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

func wrapHandler(h fasthttp.RequestHandler, onPanic func(any)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if r := recover(); r != nil {
				onPanic(r)
				Fail(ctx, &api.Error{Status: 500, Code: "internal", Detail: "internal error; the request may have run", Outcome: outcome.Unknown})
			}
		}()
		if len(ctx.PostBody()) > MaxBody {
			Fail(ctx, bodyTooLarge())
			return
		}
		h(ctx)
	}
}

func bodyTooLarge() *api.Error {
	return &api.Error{
		Status: 413, Code: "body_too_large", Outcome: outcome.NotRun,
		Detail: "the body may have " + strconv.Itoa(MaxBody) + " bytes at most",
	}
}

// badRequest answers a request that never reached a handler and so was not
// executed.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	e := &api.Error{Status: 400, Code: "bad_request", Detail: err.Error(), Outcome: outcome.NotRun}
	if strings.Contains(err.Error(), "body size exceeds") {
		e = bodyTooLarge()
	}
	Fail(ctx, e)
}

// JSON answers with v.
func JSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only a type that can't be marshalled, which is a bug
	}
	RawJSON(ctx, status, b)
}

// RawJSON answers with JSON that is already encoded.
func RawJSON(ctx *fasthttp.RequestCtx, status int, body []byte) {
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}

// Fail answers with an error.
func Fail(ctx *fasthttp.RequestCtx, e *api.Error) {
	if e.RetryAfterMS > 0 {
		secs := (e.RetryAfterMS + 999) / 1000
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(secs, 10))
	}
	JSON(ctx, e.Status, e)
}

// Bearer returns the request's bearer token, or "".
func Bearer(ctx *fasthttp.RequestCtx) string {
	h := string(ctx.Request.Header.Peek(api.HeaderAuthorization))
	if !strings.HasPrefix(h, bearerPrefix) {
		return ""
	}
	return h[len(bearerPrefix):]
}

// KeyDigest returns the SHA-256 of a key in hex, as keys are declared.
func KeyDigest(key string) string {
	d := sha256.Sum256([]byte(key))
	return hex.EncodeToString(d[:])
}

// SameDigest compares two digests in constant time.
func SameDigest(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
