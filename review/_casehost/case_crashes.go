package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// crashes: a quarter of a service's replicas crash for 2 s, four times within 8 s, while streams run.
// The prompts of the requests begin with one of four shared parts, as those of manual-digest.
func crashes(d *deployment, trouble bool) (bool, error) {
	const (
		perS       = 12.9 // requests of search-answer a second
		firstParts = 4
		things     = 152
		strikes    = 4
		crashAt    = 9 * time.Second // from the start of traffic
		crashGap   = 2500 * time.Millisecond
		downFor    = 2 * time.Second
		traffic    = 45 * time.Second
		deadline   = 20 * time.Second
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
	if trouble {
		for i := range strikes {
			time.AfterFunc(crashAt+time.Duration(i)*crashGap, func() { d.crashQuarter(downFor, work) })
		}
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[int]int)
	total, denied := 0, 0
	for began := time.Now(); time.Since(began) < traffic; {
		time.Sleep(time.Duration(rand.ExpFloat64() / perS * float64(time.Second)))
		n := d.nodes[rand.Intn(len(d.nodes))]
		q := newRequest(http.MethodPost, "/search/2f", deadline)
		q.headers = []string{"Model: m", "Token-Count: 715,234", fmt.Sprintf("Prompt-Prefix: 5c1e07a%d:103,%08x:69,%s:543", rand.Intn(firstParts), rand.Intn(things), q.id)}
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
			mu.Lock()
			defer mu.Unlock()
			total++
			counts[r.status]++
			if r.isDenied() {
				denied++
			}
		}()
	}
	clients.Wait()
	allowed := 5 + float64(total)/500
	d.record.add("answers by status: %v", counts)
	d.record.add("DENIED: %d of %d proper requests were ended with a 3xx or 4xx of the system's own; %.1f are allowed", denied, total, allowed)
	fmt.Printf("%d of %d denied\n", denied, total)
	return float64(denied) > allowed, nil
}

// isDenied reports whether a request was ended with a 3xx or 4xx that isn't the replica's.
func (r result) isDenied() bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return r.status >= 300 && r.status < 500 && r.head.Get("Replica-Signature") == ""
}

// crashQuarter has a quarter of the replicas that run crash, drawn by chance. Others take their
// places after a while.
func (d *deployment) crashQuarter(downFor time.Duration, work func(http.ResponseWriter, *http.Request, []byte)) {
	var running []*server
	for _, s := range d.allServers() {
		if !s.hasEnded() {
			running = append(running, s)
		}
	}
	rand.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	const quarter = 3
	for _, s := range running[:quarter] {
		s.crash()
	}
	time.Sleep(downFor)
	for _, s := range running[:quarter] {
		if _, err := d.addServer(s.id+"x", s.service, s.zone, s.slots, work); err != nil {
			d.record.add("%s isn't replaced: %v", s.id, err)
		}
	}
}
