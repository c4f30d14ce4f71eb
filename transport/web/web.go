// Package web holds what all HTTP listeners share: JSON answers, the one error
// form, bearer tokens, and a net under panics.
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
	// MaxBody bounds a request's body in bytes.
	MaxBody = 1 << 20
	// readBody is how much is read before the connection is closed instead: a
	// client that is still writing then would lose the answer that says why.
	readBody    = 8 << 20
	readTimeout = 30 * time.Second
	idleTimeout = 60 * time.Second
	bearer      = "Bearer "
)

// Server is a listening HTTP server.
type Server struct {
	http *fasthttp.Server
	ln   net.Listener
}

// Listen serves h on addr, IP:port. onPanic is told of a handler's panic,
// which ends only its own request.
func Listen(addr string, h fasthttp.RequestHandler, onPanic func(any)) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", addr)
	}
	s := &Server{ln: ln, http: &fasthttp.Server{
		Handler:               guard(h, onPanic),
		Name:                  "quinceroad",
		MaxRequestBodySize:    readBody,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		ErrorHandler:          badRequest,
		CloseOnShutdown:       true,
		Logger:                silent{},
	}}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// silent drops the library's own log lines; what matters is an event of ours.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// Stop refuses new connections and waits a short while for open ones.
func (s *Server) Stop(wait time.Duration) {
	done := make(chan struct{})
	go func() {
		_ = s.http.Shutdown()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(wait):
	}
}

func guard(h fasthttp.RequestHandler, onPanic func(any)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if r := recover(); r != nil {
				onPanic(r)
				Fail(ctx, &api.Error{Status: 500, Code: "internal", Detail: "internal error; the request may have run", Outcome: outcome.Unknown})
			}
		}()
		if len(ctx.PostBody()) > MaxBody {
			Fail(ctx, tooLarge())
			return
		}
		h(ctx)
	}
}

func tooLarge() *api.Error {
	return &api.Error{
		Status: 413, Code: "body_too_large", Outcome: outcome.NotRun,
		Detail: "the body may have " + strconv.Itoa(MaxBody) + " bytes at most",
	}
}

// badRequest answers what never reached a handler, so nothing of it ran.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	e := &api.Error{Status: 400, Code: "bad_request", Detail: err.Error(), Outcome: outcome.NotRun}
	if strings.Contains(err.Error(), "body size exceeds") {
		e = tooLarge()
	}
	Fail(ctx, e)
}

// JSON answers with v.
func JSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // a type of ours that can't be marshalled
	}
	RawJSON(ctx, status, b)
}

// Raw answers with JSON that was made before.
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
	h := string(ctx.Request.Header.Peek(api.HeaderKey))
	if !strings.HasPrefix(h, bearer) {
		return ""
	}
	return h[len(bearer):]
}

// Digest returns the SHA-256 of a key in hex, the form in which keys are declared.
func KeyDigest(key string) string {
	d := sha256.Sum256([]byte(key))
	return hex.EncodeToString(d[:])
}

// SameDigest compares two digests in constant time.
func SameDigest(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
