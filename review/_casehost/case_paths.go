package main

import (
	"fmt"
	"net/http"
	"time"
)

// paths: a route is split by a new configuration, while clients send requests whose path has an
// encoded slash. The path begins with the prefix of the first route alone.
func paths(d *deployment, trouble bool) (bool, error) {
	for _, service := range []string{"desk-front", "permit-desk"} {
		for i := range 2 {
			if _, err := d.addServer(fmt.Sprintf("%s-%d", service, i+1), service, zones[i], 6, plain); err != nil {
				return false, err
			}
		}
	}
	services := []any{plainService("desk-front"), plainService("permit-desk")}
	manuals := route("r-manuals", "/manuals/", "unsafe", "desk-front", 3000, 300, 1, nil)
	permits := route("r-permits", "/manuals/permits/", "unsafe", "permit-desk", 3000, 300, 1, nil)
	d.configure(7, []any{manuals}, services)
	if err := startNodes(d, 6); err != nil {
		return false, err
	}
	const shelf, permit = "/manuals/permits%2F", "/manuals/permits/"
	d.ask(shelf, 30)
	if trouble {
		d.configure(9, []any{manuals, permits}, services)
		time.Sleep(3 * time.Second)
		d.ask(permit, 12) // the new route is in force
	}
	d.ask(shelf, 30)
	wrong := 0
	for _, s := range d.allServers() {
		s.mu.Lock()
		for id, x := range s.runs {
			if s.service == "permit-desk" && len(x.path) >= len(shelf) && x.path[:len(shelf)] == shelf {
				wrong++
				d.record.add("ROUTE: %s (%s) has run %s: %s begins with /manuals/ alone, which every version sends to desk-front", s.id, s.service, id, x.path)
			}
		}
		s.mu.Unlock()
	}
	d.record.add("%d requests were run by a service to which no configuration sends them", wrong)
	return wrong > 0, nil
}

// ask sends requests, each on a connection of its own.
func (d *deployment) ask(prefix string, count int) {
	for i := range count {
		q := newRequest(http.MethodPost, fmt.Sprint(prefix, i), 3*time.Second)
		q.body = []byte("p")
		c, err := connect(d.nodes[i%len(d.nodes)].address(portClients))
		if err != nil {
			d.record.add("client: %s %s: %v", q.id, q.path, err)
			continue
		}
		r := c.do(q)
		c.close()
		d.record.add("client: %s %s at %s: %s", q.id, q.path, d.nodes[i%len(d.nodes)].name, r)
	}
}
