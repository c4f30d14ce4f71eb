package main

import (
	"fmt"
	"sync"
	"time"
)

// playSilent: the operator changes a route's time-out, and a moment later moves the route to another
// service; in between, connections to the store on which a watch waits go silent, while all
// others and new ones work. Once the machines are in touch again, and the time in which a
// configuration must be in force is over, the route's requests must not run at the old service.
func playSilent(s *site) error {
	const (
		rounds  = 8
		contact = 3 * time.Second // contact_ms
		apply   = 2 * time.Second // config_apply_ms
		margin  = 50 * time.Millisecond
	)
	services := []string{"desk-a", "desk-b"}
	for i := range 8 {
		if _, err := s.addReplica(&replica{service: services[i%2], zone: zones[i/2%len(zones)], slots: 6, queue: 24, work: 15 * time.Millisecond}); err != nil {
			return err
		}
	}
	config := func(version, timeout int, service string) map[string]any {
		plain := func(name string) map[string]any {
			return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}
		}
		return map[string]any{
			"version": version,
			"routes": []map[string]any{{"name": "r-1", "host": host, "path_prefix": "/bobo563/", "route_kind": "unsafe", "timeout_ms": timeout, "target_latency_ms": 100, "priority": 2,
				"service": service, "max_attempts": 1, "stages": []any{}, "anonymous": false, "sticky": false, "resumable": false}},
			"services": []map[string]any{plain("desk-a"), plain("desk-b")},
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
			"tenants":  []map[string]any{{"name": tenant, "api_keys": []string{tenantKey}, "priority": 1}},
		}
	}
	if err := s.begin(config(7, 600, services[0]), 6); err != nil {
		return err
	}
	serviceOf := make(map[string]string)
	for _, r := range s.replicas {
		serviceOf[r.id] = r.service
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	served, atOld, late := 0, 0, 0
	version := 7
	for round := range rounds {
		was, is := services[round%2], services[(round+1)%2]
		version += 3
		s.st.put("op/config", config(version, 600+10*round, was))
		s.rec.add("round %d: the store acknowledges version %d, another time-out", round, version)
		time.Sleep(400 * time.Millisecond)
		var silence time.Time
		if s.w.trouble {
			s.st.silence()
			silence = time.Now()
			s.rec.add("round %d: the connections to the store on which a watch waits go silent", round)
		}
		time.Sleep(200 * time.Millisecond)
		version += 2
		s.st.put("op/config", config(version, 600+10*round, is))
		acknowledged := time.Now()
		s.rec.add("round %d: the store acknowledges version %d: the route goes from %s to %s", round, version, was, is)
		due := acknowledged.Add(apply + margin)
		if inTouch := silence.Add(contact + margin); s.w.trouble && inTouch.After(due) {
			due = inTouch
		}
		for end := acknowledged.Add(6 * time.Second); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
			s.w.mu.Lock()
			n := s.nodes[s.w.random.Intn(len(s.nodes))]
			s.w.mu.Unlock()
			q := s.newRequest(nil, 600*time.Millisecond)
			sentAt := time.Now()
			clients.Go(func() {
				status, _ := s.client(n, "/bobo563/", q)
				s.rec.mu.Lock()
				runs := s.rec.runs[q.id]
				s.rec.mu.Unlock()
				mu.Lock()
				defer mu.Unlock()
				if status == 200 {
					served++
				}
				for _, id := range runs {
					s.rec.add("%s ran at server %s of %s", q.id, id, serviceOf[id])
					if serviceOf[id] == was {
						atOld++
						if sentAt.After(due) {
							late++
							s.rec.breakRule("CONFIG: the old service %s (server %s) runs %s, sent to %s %.2f s after the acknowledgement, %.2f s after connections went silent",
								was, id, q.id, n.name, sentAt.Sub(acknowledged).Seconds(), sentAt.Sub(silence).Seconds())
						}
					}
				}
			})
		}
	}
	clients.Wait()
	s.rec.add("clients: %d served, %d of the requests ran at the old service, %d of them late", served, atOld, late)
	fmt.Printf("clients: %d served; %d requests ran at the old service after a change, %d of them late\n", served, atOld, late)
	if served < 500 {
		return fmt.Errorf("only %d requests were served", served)
	}
	return nil
}
