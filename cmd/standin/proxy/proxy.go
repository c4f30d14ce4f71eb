// Package proxy is a TCP proxy that does wrong on command: it cuts, cuts one
// way, delays, freezes, and loses answers.
package proxy

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"quinceroad/protocol/settings"
)

// Config is the proxy's settings file.
type Config struct {
	Control string  `toml:"control"` // IP:port
	Routes  []Route `toml:"route"`
}

// Route is one proxied address.
type Route struct {
	Name   string `toml:"name"`
	Listen string `toml:"listen"`
	Target string `toml:"target"`
}

// Fault is what happens to a route; set by POST /fault.
type Fault struct {
	Route   string `json:"route"`
	Cut     bool   `json:"cut"`      // close all connections, refuse new ones
	DropIn  bool   `json:"drop_in"`  // swallow bytes towards the target
	DropOut bool   `json:"drop_out"` // swallow bytes from the target: answers are lost
	DelayMS int    `json:"delay_ms"` // each way
	Freeze  bool   `json:"freeze"`   // hold all bytes until it is over
}

const freezePoll = 5 * time.Millisecond

// Load reads and checks a settings file.
func Load(file string, data []byte) (*Config, error) {
	var c Config
	d := settings.Decode(file, data, &c)
	return &c, d.Err()
}

type route struct {
	Route
	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]struct{}
}

// Proxy is all routes of one process.
type Proxy struct {
	config *Config
	routes map[string]*route
	ln     []net.Listener
}

// New returns the proxy of a settings file.
func New(c *Config) *Proxy {
	p := &Proxy{config: c, routes: make(map[string]*route)}
	for _, r := range c.Routes {
		p.routes[r.Name] = &route{Route: r, conns: make(map[net.Conn]struct{})}
	}
	return p
}

// Start listens on all routes and for control calls.
func (p *Proxy) Start() error {
	for _, r := range p.routes {
		ln, err := net.Listen("tcp", r.Listen)
		if err != nil {
			return fmt.Errorf("route %s: %w", r.Name, err)
		}
		p.ln = append(p.ln, ln)
		go r.accept(ln)
	}
	ln, err := net.Listen("tcp", p.config.Control)
	if err != nil {
		return err
	}
	p.ln = append(p.ln, ln)
	mux := http.NewServeMux()
	mux.HandleFunc("/fault", p.serveFault)
	go func() { _ = http.Serve(ln, mux) }()
	return nil
}

// Stop closes the listeners.
func (p *Proxy) Stop() error {
	for _, ln := range p.ln {
		_ = ln.Close()
	}
	return nil
}

func (p *Proxy) serveFault(w http.ResponseWriter, q *http.Request) {
	var f Fault
	if err := json.NewDecoder(q.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r, ok := p.routes[f.Route]
	if !ok {
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	r.set(f)
}

func (r *route) set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	if !f.Cut {
		return
	}
	for c := range r.conns {
		_ = c.Close()
		delete(r.conns, c)
	}
}

func (r *route) now() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *route) accept(ln net.Listener) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		go r.serve(in)
	}
}

func (r *route) serve(in net.Conn) {
	defer in.Close()
	if r.now().Cut {
		return
	}
	out, err := net.Dial("tcp", r.Target)
	if err != nil {
		return
	}
	defer out.Close()
	r.mu.Lock()
	r.conns[in], r.conns[out] = struct{}{}, struct{}{}
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	go r.copy(out, in, true, done)
	go r.copy(in, out, false, done)
	<-done
	r.mu.Lock()
	delete(r.conns, in)
	delete(r.conns, out)
	r.mu.Unlock()
}

func (r *route) copy(dst, src net.Conn, inward bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, 32<<10)
	for {
		n, err := src.Read(b)
		if err != nil {
			return
		}
		f := r.now()
		for f.Freeze {
			time.Sleep(freezePoll)
			f = r.now()
		}
		if (inward && f.DropIn) || (!inward && f.DropOut) {
			continue
		}
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		if _, err := dst.Write(b[:n]); err != nil {
			return
		}
	}
}
