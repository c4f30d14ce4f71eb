// Package proxy is a TCP proxy that injects network faults on command: connections cut in
// both directions, data dropped in one, delays and stalls.
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

// Route is an address that the proxy listens on and the target that it forwards to.
type Route struct {
	Name   string `toml:"name"`
	Listen string `toml:"listen"`
	Target string `toml:"target"`
}

// Fault is the fault injected into a route, set by POST /fault.
type Fault struct {
	Route   string `json:"route"`
	Cut     bool   `json:"cut"`      // close all connections, refuse new ones
	DropIn  bool   `json:"drop_in"`  // discard data to the target
	DropOut bool   `json:"drop_out"` // discard data from the target, so that responses are lost
	DelayMS int    `json:"delay_ms"` // in each direction
	Freeze  bool   `json:"freeze"`   // hold all data back until the fault is cleared
}

const freezePollInterval = 5 * time.Millisecond

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

// Proxy forwards connections on all configured routes.
type Proxy struct {
	config    *Config
	routes    map[string]*route
	listeners []net.Listener
}

// New returns a proxy for the settings; Start starts it.
func New(c *Config) *Proxy {
	p := &Proxy{config: c, routes: make(map[string]*route)}
	for _, r := range c.Routes {
		p.routes[r.Name] = &route{Route: r, conns: make(map[net.Conn]struct{})}
	}
	return p
}

// Start listens on all routes and on the control address.
func (p *Proxy) Start() error {
	for _, r := range p.routes {
		ln, err := net.Listen("tcp", r.Listen)
		if err != nil {
			return fmt.Errorf("route %s: %w", r.Name, err)
		}
		p.listeners = append(p.listeners, ln)
		go r.accept(ln)
	}
	ln, err := net.Listen("tcp", p.config.Control)
	if err != nil {
		return err
	}
	p.listeners = append(p.listeners, ln)
	mux := http.NewServeMux()
	mux.HandleFunc("/fault", p.serveFault)
	go func() { _ = http.Serve(ln, mux) }()
	return nil
}

// Stop closes the listeners; open connections stay.
func (p *Proxy) Stop() error {
	for _, ln := range p.listeners {
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
	r.setFault(f)
}

func (r *route) setFault(f Fault) {
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

func (r *route) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *route) accept(ln net.Listener) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		go r.serve(client)
	}
}

func (r *route) serve(client net.Conn) {
	defer client.Close()
	if r.currentFault().Cut {
		return
	}
	target, err := net.Dial("tcp", r.Target)
	if err != nil {
		return
	}
	defer target.Close()
	r.mu.Lock()
	r.conns[client], r.conns[target] = struct{}{}, struct{}{}
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	go r.forward(target, client, true, done)
	go r.forward(client, target, false, done)
	<-done
	r.mu.Lock()
	delete(r.conns, client)
	delete(r.conns, target)
	r.mu.Unlock()
}

func (r *route) forward(dst, src net.Conn, toTarget bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, 32<<10)
	for {
		n, err := src.Read(b)
		if err != nil {
			return
		}
		f := r.currentFault()
		for f.Freeze {
			time.Sleep(freezePollInterval)
			f = r.currentFault()
		}
		if (toTarget && f.DropIn) || (!toTarget && f.DropOut) {
			continue
		}
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		if _, err := dst.Write(b[:n]); err != nil {
			return
		}
	}
}
