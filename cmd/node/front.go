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
	"quinceroad/protocol/event"
	"quinceroad/protocol/exchange"
)

// The limits that hold until a configuration states others.
const (
	mostHeader      = 256 << 10 // of any configuration
	standardBody    = 4 << 20
	standardHeadFor = 3 * time.Second  // the limit that the deployments state so far
	mostIdle        = 75 * time.Second // that a client's connection may rest, longer than configurations allow
	bodyFor         = 10 * time.Second // that a body may take; longer than the deadlines of short requests
)

// listeners are the process's HTTP listeners.
type listeners struct {
	servers []*http.Server
}

func (l *listeners) close() {
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// listen opens the listeners for clients, checks, and questions for addresses.
// net/http serves them: it tells when a client goes away, which the house's
// library does not (docs/STYLE.md).
func (n *Node) listen() error {
	handlers := []struct {
		addr    string
		handler http.Handler
	}{
		{n.settings.Front, http.HandlerFunc(n.serveClient)},
		{n.settings.Ready, http.HandlerFunc(n.serveReady)},
		{n.settings.Directory, http.HandlerFunc(n.serveDirectory)},
	}
	for _, h := range handlers {
		ln, err := net.Listen("tcp4", h.addr)
		if err != nil {
			return trace.Wrap(err, "listening on %s", h.addr)
		}
		server := &http.Server{
			Handler:           n.guard(h.handler),
			ReadHeaderTimeout: standardHeadFor,
			IdleTimeout:       mostIdle,
			MaxHeaderBytes:    mostHeader, // the configuration's own limit is looked at for each request
			ErrorLog:          log.New(io.Discard, "", 0),
		}
		n.listeners.servers = append(n.listeners.servers, server)
		go func() { _ = server.Serve(ln) }()
	}
	return nil
}

// guard keeps a panic to its own request.
func (n *Node) guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p != http.ErrAbortHandler {
				event.NodePanicked.Log(n.log, "panic", p)
			}
			panic(http.ErrAbortHandler) // ends the connection without an answer that looks whole
		}()
		h.ServeHTTP(w, r)
	})
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

// answerError is an answer of the system's own to a client.
type answerError struct {
	status int
	after  time.Duration // when the client may come back; 0: not said
	text   string
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
	req, err := n.receive(w, r, arrived)
	if err != nil {
		n.answerOwn(w, req, err)
		return
	}
	n.serve(r.Context(), w, req)
}

func (n *Node) answerOwn(w http.ResponseWriter, req *exchange.Request, err error) {
	own := &answerError{status: http.StatusBadRequest, text: err.Error()}
	var as *answerError
	if errors.As(err, &as) {
		own = as
	}
	platform.SetID(w.Header(), req.ID)
	if own.after > 0 || own.status == http.StatusServiceUnavailable {
		platform.SetRetryAfter(w.Header(), own.after)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	n.counters.answers(own.status).Inc(1)
	w.WriteHeader(own.status)
	_, _ = io.WriteString(w, own.text+"\n")
}

// receive reads a request and checks that it may be served.
func (n *Node) receive(w http.ResponseWriter, r *http.Request, arrived time.Duration) (*exchange.Request, error) {
	req, err := platform.ParseRequest(r)
	req.Arrived = arrived
	if err != nil {
		return req, err
	}
	limit := int64(standardBody)
	if c := n.world.Load().config; c != nil {
		if c.Limits.BodyBytes > 0 {
			limit = c.Limits.BodyBytes
		}
		if c.Limits.HeaderBytes > 0 && headerBytes(r) > c.Limits.HeaderBytes {
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
	_ = control.SetReadDeadline(time.Now().Add(bodyFor))
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

// headerBytes is the length of a request's head, about.
func headerBytes(r *http.Request) int {
	const framing = 4 // colon, blank and the line's end
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + framing
		}
	}
	return n
}

// done reports whether the client has gone or its time is over.
func done(ctx context.Context) bool { return ctx.Err() != nil }
