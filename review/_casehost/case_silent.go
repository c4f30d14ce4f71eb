package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// silent: the open connections of all nodes to the replicas go silent for good, once, while new ones
// work. Streams that wait for their first event are sent to another replica, though the first one
// is still at work on them.
func silent(d *deployment, trouble bool) (bool, error) {
	const (
		perS      = 7.0 // requests of search-answer a second; the table has 12.9
		silentAt  = 8 * time.Second
		contact   = 3 * time.Second        // contact_ms
		overlap   = 400 * time.Millisecond // of the rule
		traffic   = 16 * time.Second
		deadline  = 20 * time.Second
		firstTime = 3200 * time.Millisecond // until the first event
	)
	var proxies []*proxy
	for i := range 12 {
		s, err := d.addServer(fmt.Sprintf("scribe-%d", i+1), "scribe-pool", zones[i%len(zones)], 128, events(firstTime, 27*time.Millisecond, 45))
		if err != nil {
			return false, err
		}
		p, err := startProxy(s.address)
		if err != nil {
			return false, err
		}
		s.advertise(p.address)
		proxies = append(proxies, p)
	}
	search := route("r-search", "/search/", "stream", "scribe-pool", 20000, 3600, 2, map[string]any{"resumable": true, "gap_target_ms": 500, "sticky": true})
	d.configure(7, []any{search}, []any{engineService("scribe-pool")})
	if err := startNodes(d, 6); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	began := time.Now()
	silentFrom := began.Add(silentAt)
	if trouble {
		time.AfterFunc(silentAt, func() {
			n := 0
			for _, p := range proxies {
				n += p.silence()
			}
			d.record.add("%d open connections to replicas go silent", n)
		})
	}
	for time.Since(began) < traffic {
		time.Sleep(time.Duration(rand.ExpFloat64() / perS * float64(time.Second)))
		n := d.nodes[rand.Intn(len(d.nodes))]
		q := newRequest(http.MethodPost, "/search/2f", deadline)
		q.headers = []string{"Model: m", "Token-Count: 715,234", fmt.Sprintf("Prompt-Prefix: 5c1e07%02d:103,%08x:69,%s:543", rand.Intn(20), rand.Intn(152), q.id)}
		q.body = []byte(fmt.Sprintf("%01400d", rand.Int63()))
		clients.Add(1)
		go func() {
			defer clients.Done()
			c, err := connect(n.address(portClients))
			if err != nil {
				return
			}
			defer c.close()
			r := c.do(q)
			d.record.add("client: %s at %s: %s after %v", q.id, n.name, r, r.duration.Round(time.Millisecond))
		}()
	}
	clients.Wait()
	twice := d.countTwice(overlap, func(at time.Time) bool {
		return !trouble || at.Before(silentFrom) || at.After(silentFrom.Add(contact))
	})
	d.record.add("TWICE: %d requests went on at another replica while the previous one was at work on them 400 ms later", twice)
	fmt.Println(twice, "twice")
	return twice > 0, nil
}

// countTwice counts the requests that began at a second server while a first one still worked on them
// after the given time, at moments at which the nodes are in touch.
func (d *deployment) countTwice(after time.Duration, inTouch func(time.Time) bool) int {
	byID := make(map[string][]run)
	for _, s := range d.allServers() {
		s.mu.Lock()
		for id, x := range s.runs {
			x.server = s.id
			byID[id] = append(byID[id], x)
		}
		s.mu.Unlock()
	}
	twice := 0
	for id, runs := range byID {
		for _, first := range runs {
			for _, second := range runs {
				moment := second.at.Add(after)
				if first.server == second.server || !first.at.Before(second.at) || !inTouch(second.at) || !inTouch(moment) || !first.end.IsZero() && first.end.Before(moment) {
					continue
				}
				twice++
				d.record.add("%s: at %s from %.3f to %.3f, and at %s from %.3f on", id, first.server, d.record.since(first.at), d.record.since(first.end), second.server, d.record.since(second.at))
			}
		}
	}
	return twice
}
