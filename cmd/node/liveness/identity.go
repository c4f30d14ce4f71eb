package liveness

import (
	"errors"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/outcome"
	"quinceroad/platform"
	"quinceroad/state/catalog"
	"quinceroad/transport/answerhead"
	"quinceroad/transport/upstream"
)

const (
	// identityTimeout is the time for a replica's word on who it is. It leaves time to connect
	// within a request's wait.
	identityTimeout = 120 * time.Millisecond
	// MinConnectionTime is the time for which a connection must stay open to prove that a
	// replica runs which has no call for its identity. One that is ending closes its port
	// shortly after its connections, and may still accept one.
	MinConnectionTime = 10 * time.Millisecond
)

// Errors of AskIdentity.
var (
	ErrConnectionEnded = errors.New("the connection was closed at once")
	ErrAnotherReplica  = errors.New("another replica listens at the address")
	ErrSilent          = errors.New("the connection stays open, and nothing answers")
	ErrNoAnswer        = errors.New("something listens, and its bytes are no answer")
)

// IdentityPath returns the path of a call that the replicas of a service answer without work, ""
// if they have none.
func IdentityPath(s *catalog.Service) string {
	switch {
	case s == nil:
		return ""
	case s.Engine != nil || s.Pool != nil:
		return platform.PathReport
	}
	return s.HealthPath
}

// AskIdentity asks over a new connection whether it leads to a replica. Any answer but that of
// another replica says so; silence says nothing, and nor do bytes that are no answer. With no path
// to ask at, a connection that stays open must do.
func AskIdentity(conn *upstream.Conn, r *catalog.Replica, path string) error {
	if path == "" {
		if !conn.StaysOpen(MinConnectionTime) {
			return ErrConnectionEnded
		}
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(identityTimeout))
	name := catalog.ReplicaName(r.ID)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.DisableNormalizing()
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI(path)
	req.Header.SetHost(r.Address)
	platform.SetExpectedReplica(name, req.Header.Set)
	token, _ := outcome.NewRecord().Dispatch()
	x, err := conn.Begin(token, req)
	if err == nil {
		err = x.ReadHead(func(*fasthttp.ResponseHeader) bool { return true })
	}
	_, isBroken := answerhead.ReasonOf(err)
	switch {
	case isBroken:
		return errors.Join(ErrNoAnswer, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrSilent
	case err != nil:
		return ErrConnectionEnded
	case !platform.AnswersAs(x.Header.StatusCode(), name, func(h string) string { return string(x.Header.Peek(h)) }):
		return ErrAnotherReplica
	}
	return nil
}
