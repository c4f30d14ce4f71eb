package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"time"
)

// hotThing: many clients of one tenant ask the same thing, and a quarter of the replicas that
// answer them crash at once for 2 s.
func hotThing(d *deployment, trouble bool) (bool, error) {
	const (
		perS     = 12.9 // requests of search-answer a second
		hotShare = 0.28
		hotAt    = 2 * time.Second // from the start of traffic
		crashAt  = 9 * time.Second
		downFor  = 2 * time.Second
		traffic  = 60 * time.Second
		deadline = 20 * time.Second
	)
	work := events(time.Second, 190*time.Millisecond, 78)
	for i := range 12 {
		if _, err := d.addServer(fmt.Sprintf("scribe-%d", i+1), "scribe-pool", zones[i%len(zones)], 128, work); err != nil {
			return false, err
		}
	}
	search := route("r-search", "/search/", "stream", "scribe-pool", 20000, 3600, 2, map[string]any{"resumable": true, "gap_target_ms": 500, "sticky": true})
	d.configure(7, []any{search}, []any{engineService("scribe-pool")})
	if err := startNodes(d, 6); err != nil {
		return false, err
	}
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	if trouble {
		time.AfterFunc(crashAt, func() { d.crashQuarter(downFor, work) })
	}
	hotBody := []byte(fmt.Sprintf("%01400d", 7))
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	total, denied := 0, 0
	began := time.Now()
	for time.Since(began) < traffic {
		time.Sleep(time.Duration(random.ExpFloat64() / perS * float64(time.Second)))
		n := d.nodes[random.Intn(len(d.nodes))]
		q := newRequest(http.MethodPost, "/search/2f", deadline)
		kind := "others"
		q.headers = []string{"Model: m", "Token-Count: 715,234", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:103,%08x:69,%s:543", random.Intn(152), q.id)}
		q.body = []byte(fmt.Sprintf("%01400d", random.Int63()))
		if time.Since(began) > hotAt && random.Float64() < hotShare {
			kind = "the hot thing"
			q.headers[2] = fmt.Sprintf("Prompt-Prefix: 5c1e07a2:103,00000707:69,%s:543", q.id)
			q.body = hotBody
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			c, err := connect(n.address(portClients))
			if err != nil {
				return
			}
			defer c.close()
			r := c.do(q)
			d.record.add("client: %s (%s) at %s: %s after %v", q.id, kind, n.name, r, r.duration.Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			total++
			if r.status >= 300 && r.status < 500 && r.status != 408 && r.status != 421 && r.status != 429 && r.head.Get("Replica-Signature") == "" {
				denied++
			}
			counts[fmt.Sprintf("%s: %d", kind, r.status)]++
		}()
	}
	clients.Wait()
	d.record.add("answers: %v", counts)
	d.record.add("DENIED: %d of %d requests were ended with a 4xx of the system's own; %.1f are allowed", denied, total, 5+float64(total)/500)
	fmt.Println(counts, denied, total)
	return float64(denied) > 5+float64(total)/500, nil
}

// crashQuarter has a quarter of the replicas crash, those that run most requests. Others take their places after a while.
func (d *deployment) crashQuarter(downFor time.Duration, work func(http.ResponseWriter, *http.Request, []byte)) {
	var running []*server
	for _, s := range d.allServers() {
		if !s.hasEnded() {
			running = append(running, s)
		}
	}
	slices.SortFunc(running, func(a, b *server) int { return b.activeRequests() - a.activeRequests() })
	for _, s := range running[:3] {
		s.crash()
	}
	time.Sleep(downFor)
	for _, s := range running[:3] {
		if _, err := d.addServer(s.id+"x", s.service, s.zone, s.slots, work); err != nil {
			d.record.add("%s isn't replaced: %v", s.id, err)
		}
	}
}
