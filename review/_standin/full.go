package main

import (
	"fmt"
	"sync"
	"time"
)

// playFull: all nodes are killed at once and start again (a final fault); right after, many users come
// at once, so that the replicas of a service are full now and then. Some of their answers carry
// Connection: close, as those of sound replicas do now and then.
func playFull(s *site) error {
	const (
		usual     = 46.0 // requests a second, of 133 that the replicas can run
		times     = 2.6  // the burst
		faultAt   = 15 * time.Second
		down      = time.Second
		burstFor  = 6500 * time.Millisecond
		recovery  = 12 * time.Second // recover_s
		measured  = 20 * time.Second
		closes    = 0.05
		heldShare = 0.25 // the least that must be served
	)
	for i := range 4 {
		if _, err := s.addReplica(&replica{service: "desk", zone: zones[i%len(zones)], slots: 2, queue: 2, work: 60 * time.Millisecond, closes: closes}); err != nil {
			return err
		}
	}
	config := map[string]any{
		"version": 7,
		"routes": []map[string]any{{"name": "r-1", "host": host, "path_prefix": "/bobo563/", "route_kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 300, "priority": 2,
			"service": "desk", "max_attempts": 1, "stages": []any{}, "anonymous": false, "sticky": false, "resumable": false}},
		"services": []map[string]any{{"name": "desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": tenant, "api_keys": []string{tenantKey}, "priority": 1}},
	}
	if err := s.begin(config, 6); err != nil {
		return err
	}
	type count struct{ sent, served int }
	var clients sync.WaitGroup
	var mu sync.Mutex
	var before, after count
	bySecond := make(map[int]*count)
	start := time.Now()
	back := start.Add(faultAt + down)
	killed := false
	for now := time.Now(); now.Before(back.Add(recovery + measured)); now = time.Now() {
		if s.w.trouble && !killed && now.Sub(start) >= faultAt {
			killed = true
			s.rec.add("final fault: all nodes are killed")
			for _, n := range s.nodes {
				n.kill()
			}
			time.Sleep(down)
			for _, n := range s.nodes {
				if err := n.start(); err != nil {
					return err
				}
			}
			back = time.Now()
			s.rec.add("the machines are back")
			continue
		}
		perSecond := usual
		if since := now.Sub(back); s.w.trouble && since > time.Second && since < time.Second+burstFor {
			perSecond *= times
		}
		s.w.mu.Lock()
		pause := time.Duration(s.w.random.ExpFloat64() / perSecond * float64(time.Second))
		n := s.nodes[s.w.random.Intn(len(s.nodes))]
		s.w.mu.Unlock()
		time.Sleep(pause)
		q := s.newRequest(nil, 3*time.Second)
		sentAt := time.Now()
		clients.Go(func() {
			status, _ := s.client(n, "/bobo563/", q)
			mu.Lock()
			defer mu.Unlock()
			second := bySecond[int(sentAt.Sub(start).Seconds())]
			if second == nil {
				second = &count{}
				bySecond[int(sentAt.Sub(start).Seconds())] = second
			}
			counts := []*count{second}
			if sentAt.Before(start.Add(faultAt)) {
				counts = append(counts, &before)
			} else if sentAt.After(back.Add(recovery)) {
				counts = append(counts, &after)
			}
			for _, c := range counts {
				c.sent++
				if status == 200 {
					c.served++
				}
			}
		})
	}
	clients.Wait()
	for second := range int((faultAt + down + recovery + measured).Seconds()) + 2 {
		if c := bySecond[second]; c != nil {
			s.rec.add("second %d: %d of %d served", second, c.served, c.sent)
		}
	}
	text := fmt.Sprintf("%d of %d served before the final fault, %d of %d of those sent later than %v after the machines were back", before.served, before.sent, after.served, after.sent, recovery)
	s.rec.add("%s", text)
	fmt.Println(text)
	if float64(before.served) < heldShare*float64(before.sent) || after.sent == 0 {
		return fmt.Errorf("under a quarter was served before the fault, or none was sent later")
	}
	if float64(after.served) < heldShare*float64(after.sent) {
		s.rec.breakRule("RECOVER: %s", text)
	}
	return nil
}
