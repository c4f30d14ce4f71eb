package node

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"quinceroad/platform"
	"quinceroad/protocol/clientrequest"
	"quinceroad/protocol/event"
)

// Limits of client requests, where no configuration sets them.
const (
	maxHeaderBytes       = 256 << 10 // upper bound of the configurable limit
	defaultMaxBodyBytes  = 4 << 20
	defaultHeaderTimeout = 3 * time.Second  // the limit that deployments configure
	maxClientIdle        = 75 * time.Second // idle time of a client's connection; longer than configurations allow
	bodyTimeout          = 10 * time.Second // timeout for the arrival of a body; longer than the deadlines of short requests
)

// listeners holds the process's HTTP servers.
type listeners struct {
	servers []*http.Server
}

func (l *listeners) close() {
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// listen opens the listeners for client requests, readiness checks and the address
// directory. They use net/http because it reports when a client disconnects, which
// fasthttp does not (docs/STYLE.md).
func (n *Node) listen() error {
	handlers := []struct {
		addr    string
		handler http.Handler
	}{
		{n.settings.ClientAddress, http.HandlerFunc(n.serveClient)},
		{n.settings.ReadinessAddress, http.HandlerFunc(n.serveReady)},
		{n.settings.ResolveAddress, http.HandlerFunc(n.serveDirectory)},
	}
	for _, h := range handlers {
		ln, err := net.Listen("tcp4", h.addr)
		if err != nil {
			return trace.Wrap(err, "listening on %s", h.addr)
		}
		server := &http.Server{
			Handler:           n.recoverPanics(h.handler),
			ReadHeaderTimeout: defaultHeaderTimeout,
			IdleTimeout:       maxClientIdle,
			MaxHeaderBytes:    maxHeaderBytes, // the configured limit is checked for each request
			ErrorLog:          log.New(io.Discard, "", 0),
		}
		n.listeners.servers = append(n.listeners.servers, server)
		go func() { _ = server.Serve(ln) }()
	}
	return nil
}

// recoverPanics confines a panic to its request.
func (n *Node) recoverPanics(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p != http.ErrAbortHandler {
				event.NodePanicked.Log(n.log, "panic", p)
			}
			if !r.ProtoAtLeast(1, 1) {
				n.resetConnection(w)
			}
			panic(http.ErrAbortHandler) // closes the connection, so that the answer does not look complete
		}()
		h.ServeHTTP(w, r)
	})
}

// resetConnection resets a client's connection. A client that knows no chunks takes an orderly
// end for that of the answer.
func (n *Node) resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		n.logSideCallFailure("reset a client's connection", "client", err)
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReady {
		http.NotFound(w, r)
		return
	}
	if n.readiness() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// answerError is an error that is answered to the client by this instance.
type answerError struct {
	status     int
	retryAfter time.Duration // delay after which the client may retry; 0: not stated, except with status 503
	text       string
}

// Error implements error.
func (e *answerError) Error() string { return e.text }

func (n *Node) serveClient(w http.ResponseWriter, r *http.Request) {
	arrived := n.now()
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	req, err := n.readRequest(w, r, arrived)
	if err != nil {
		n.writeError(w, req, err)
		return
	}
	n.handleRequest(r.Context(), w, req)
}

func (n *Node) writeError(w http.ResponseWriter, req *clientrequest.Request, err error) {
	own := &answerError{status: http.StatusBadRequest, text: err.Error()}
	var as *answerError
	if errors.As(err, &as) {
		own = as
	}
	platform.SetRequestID(w.Header(), req.ID)
	if own.retryAfter > 0 || own.status == http.StatusServiceUnavailable {
		platform.SetRetryAfter(w.Header(), own.retryAfter)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	n.counters.answersWithStatus(own.status).Inc(1)
	w.WriteHeader(own.status)
	_, _ = io.WriteString(w, own.text+"\n")
}

// readRequest reads a request and checks it against the size limits.
func (n *Node) readRequest(w http.ResponseWriter, r *http.Request, arrived time.Duration) (*clientrequest.Request, error) {
	req, err := platform.ParseRequest(r)
	req.ArrivedAt = arrived
	if err != nil {
		return req, err
	}
	limit := int64(defaultMaxBodyBytes)
	if c := n.snapshot.Load().config; c != nil {
		if c.Limits.BodyBytes > 0 {
			limit = c.Limits.BodyBytes
		}
		if c.Limits.HeaderBytes > 0 && approxHeaderBytes(r) > c.Limits.HeaderBytes {
			return req, &answerError{status: http.StatusRequestHeaderFieldsTooLarge, text: "the head is longer than the configuration allows"}
		}
	}
	if r.ContentLength > limit {
		return req, &answerError{status: http.StatusRequestEntityTooLarge, text: "the body is longer than the configuration allows"}
	}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return req, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	req.Body, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		w.Header().Set("Connection", "close")
		return req, &answerError{status: http.StatusBadRequest, text: "the body broke off"}
	case int64(len(req.Body)) > limit:
		w.Header().Set("Connection", "close")
		return req, &answerError{status: http.StatusRequestEntityTooLarge, text: "the body is longer than the configuration allows"}
	}
	return req, nil
}

// approxHeaderBytes returns the approximate size of a request's line and headers.
func approxHeaderBytes(r *http.Request) int {
	const framing = 4 // colon, space and line end
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + framing
		}
	}
	return n
}

// isDone reports whether the request's context has ended: the client has disconnected or
// the deadline has passed.
func isDone(ctx context.Context) bool { return ctx.Err() != nil }
