package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bodies: a kind of request whose bodies are as long as the configuration allows gets 2.6 times its
// traffic for 6.9 s. The platform kills a process that goes over its memory.
func bodies(d *deployment, trouble bool) (bool, error) {
	const (
		perS      = 12.9                        // requests of search-answer a second
		burst     = 2.6                         // times, its largest dose
		burstAt   = 15 * time.Second            // from the start of traffic
		burstFor  = 2 * 6900 * time.Millisecond // two bursts, one after the other
		trafficS  = 36 * time.Second
		deadline  = 20 * time.Second
		bodyBytes = 4194304
	)
	for i := range 12 {
		if _, err := d.addServer(fmt.Sprintf("scribe-%d", i+1), "scribe-pool", zones[i%len(zones)], 128, events(2500*time.Millisecond, 190*time.Millisecond, 50)); err != nil {
			return false, err
		}
	}
	search := route("r-search", "/search/", "stream", "scribe-pool", 20000, 3600, 2, map[string]any{"resumable": true, "gap_target_ms": 500, "sticky": true})
	d.configure(7, []any{search}, []any{engineService("scribe-pool")})
	if err := startNodes(d, 6); err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	go d.limitMemory(done)
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = byte('a' + i%23)
	}
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	var clients sync.WaitGroup
	var lost, whole, others atomic.Int64
	began := time.Now()
	for time.Since(began) < trafficS {
		rate := perS
		if since := time.Since(began); trouble && since > burstAt && since < burstAt+burstFor {
			rate *= burst
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		n := d.nodes[random.Intn(len(d.nodes))]
		clients.Add(1)
		go func() {
			defer clients.Done()
			switch d.search(n, body, deadline) {
			case "lost":
				lost.Add(1)
			case "whole":
				whole.Add(1)
			default:
				others.Add(1)
			}
		}()
	}
	clients.Wait()
	for _, n := range d.nodes {
		d.record.add("%s: %d processes have ended", n.name, n.endCount())
	}
	d.record.add("%d whole, %d passed on and closed without an answer, %d others", whole.Load(), lost.Load(), others.Load())
	fmt.Printf("%d whole, %d lost, %d others\n", whole.Load(), lost.Load(), others.Load())
	return lost.Load() > 3, nil
}

// search sends a request on a connection that has carried one, and returns what became of it.
func (d *deployment) search(n *node, body []byte, deadline time.Duration) string {
	c, err := connect(n.address(portClients))
	if err != nil {
		d.record.add("client: no connection to %s: %v", n.name, err)
		return "other"
	}
	defer c.close()
	first := newRequest(http.MethodGet, "/nowhere/", 2*time.Second)
	if r := c.do(first); r.status != http.StatusNotFound {
		d.record.add("client: %s at %s: %s", first.id, n.name, r)
		return "other"
	}
	q := newRequest(http.MethodPost, "/search/2f", deadline)
	q.headers = []string{"Model: m", "Token-Count: 715,234", "Prompt-Prefix: 5c1e07a2:103,91bd3f06:69,e4402b7d:543"}
	q.body = body
	r := c.do(q)
	var ranAt string
	for _, s := range d.allServers() {
		if _, ok := s.ran(q.id); ok {
			ranAt = s.id
		}
	}
	d.record.add("client: %s at %s, run by %q: %s after %v", q.id, n.name, ranAt, r, r.duration.Round(time.Millisecond))
	switch {
	case r.err == nil && r.status == http.StatusOK:
		return "whole"
	case r.err != nil && !r.answered && ranAt != "" && r.duration < deadline-time.Second:
		return "lost"
	}
	return "other"
}

// limitMemory kills processes that go over their memory, as the platform does.
func (d *deployment) limitMemory(done chan struct{}) {
	highest := make(map[*node]int)
	for {
		select {
		case <-done:
			for _, n := range d.nodes {
				d.record.add("%s: %d MB at the most", n.name, highest[n]/1e6)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, n := range d.nodes {
			used := n.memory()
			highest[n] = max(highest[n], used)
			if used > d.memoryMB<<20 {
				d.record.add("%s: %d MB are over its memory of %d MB; it is killed", n.name, used>>20, d.memoryMB)
				n.signal(syscall.SIGKILL)
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}
