package link

import (
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"

	"quinceroad/protocol/frame"
)

// Handler serves one stream and may read and write further frames. The stream is
// closed when the handler returns.
type Handler func(k frame.Kind, first []byte, stream net.Conn)

// firstFrameTimeout is the time for the whole of a stream's first frame, which a peer sends as it opens the
// stream. The longest takes half of it on a link of 20 Mbit/s.
const firstFrameTimeout = 8 * time.Second

// Server accepts sessions from peers.
type Server struct {
	ln       net.Listener
	traffic  *Traffic
	handler  Handler
	patience time.Duration // for the first frame of a stream
	mu       sync.Mutex
	sessions map[*muxSession]struct{}
	closed   bool
}

// Listen starts a server on addr that adds its bytes to t.
func Listen(addr string, h Handler, t *Traffic) (*Server, error) {
	return listen(addr, h, t, firstFrameTimeout)
}

func listen(addr string, h Handler, t *Traffic, patience time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", addr)
	}
	s := &Server{ln: ln, traffic: t, handler: h, patience: patience, sessions: make(map[*muxSession]struct{})}
	go s.accept()
	return s, nil
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		mux, err := newServerSession(newConn(c, s.traffic))
		if err != nil || !s.add(mux) {
			_ = c.Close()
			continue
		}
		go s.serve(mux)
	}
}

func (s *Server) add(mux *muxSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[mux] = struct{}{}
	return true
}

func (s *Server) serve(mux *muxSession) {
	defer func() {
		mux.Close()
		s.mu.Lock()
		delete(s.sessions, mux)
		s.mu.Unlock()
	}()
	for {
		st, err := mux.AcceptStream()
		if err != nil {
			return
		}
		go s.serveStream(st)
	}
}

func (s *Server) serveStream(st *yamux.Stream) {
	defer st.Close()
	_ = st.SetReadDeadline(time.Now().Add(s.patience))
	k, first, err := frame.ReadRaw(st)
	if err != nil || st.SetReadDeadline(time.Time{}) != nil {
		return
	}
	s.handler(k, first, st)
}

// Stop closes the listener and all sessions.
func (s *Server) Stop() {
	_ = s.ln.Close()
	s.mu.Lock()
	s.closed = true
	open := make([]*muxSession, 0, len(s.sessions))
	for mux := range s.sessions {
		open = append(open, mux)
	}
	s.mu.Unlock()
	for _, mux := range open {
		mux.Close()
	}
}
