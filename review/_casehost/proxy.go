package main

import (
	"io"
	"net"
	"sync"
)

// proxy carries connections to a server. It can have the open ones go silent for good, while new
// ones work.
type proxy struct {
	address string
	target  string

	mu   sync.Mutex
	open map[*pair]bool
}

// pair is a connection through the proxy.
type pair struct {
	caller, server net.Conn
	silent         chan struct{} // closed when nothing passes any more
}

func startProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.8.2:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: ln.Addr().String(), target: target, open: make(map[*pair]bool)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p, nil
}

func (p *proxy) carry(caller net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = caller.(*net.TCPConn).SetLinger(0)
		_ = caller.Close()
		return
	}
	x := &pair{caller: caller, server: server, silent: make(chan struct{})}
	p.mu.Lock()
	p.open[x] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); x.copy(server, caller) }()
	go func() { defer both.Done(); x.copy(caller, server) }()
	both.Wait()
	p.mu.Lock()
	delete(p.open, x)
	p.mu.Unlock()
}

// copy passes on what arrives until an end closes, and then closes the other one. On a silent
// connection it takes what arrives, passes on nothing and closes nothing.
func (x *pair) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		select {
		case <-x.silent:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if err == nil {
			_, err = to.Write(b[:n])
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silence has the open connections go silent for good, and returns how many these are.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.open {
		select {
		case <-x.silent:
		default:
			close(x.silent)
		}
	}
	return len(p.open)
}
