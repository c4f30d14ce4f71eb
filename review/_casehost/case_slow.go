package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// slowBodies: clients behind a slow link send bodies for longer than 10 s, within their deadline.
func slowBodies(d *deployment, trouble bool) (bool, error) {
	const (
		clients   = 24
		deadline  = 20 * time.Second
		bodyBytes = 110000
		parts     = 24
	)
	if _, err := d.addServer("desk-1", "desk-front", zones[0], 6, plain); err != nil {
		return false, err
	}
	d.configure(7, []any{route("r-file", "/file/", "unsafe", "desk-front", 20000, 3600, 1, nil)}, []any{plainService("desk-front")})
	if err := startNodes(d, 6); err != nil {
		return false, err
	}
	pause := 50 * time.Millisecond
	if trouble {
		pause = 500 * time.Millisecond
	}
	var all sync.WaitGroup
	var denied, served atomic.Int64
	for i := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			n := d.nodes[i%len(d.nodes)]
			c, err := connect(n.address(portClients))
			if err != nil {
				return
			}
			defer c.close()
			q := newRequest(http.MethodPost, fmt.Sprint("/file/", i), deadline)
			q.body = make([]byte, bodyBytes)
			q.sendBody = func(w io.Writer) error {
				for p := range parts {
					if _, err := w.Write(q.body[p*bodyBytes/parts : (p+1)*bodyBytes/parts]); err != nil {
						return err
					}
					time.Sleep(pause)
				}
				return nil
			}
			r := c.do(q)
			d.record.add("client: %s at %s: %s after %v", q.id, n.name, r, r.duration)
			switch {
			case r.status == http.StatusOK:
				served.Add(1)
			case r.status == http.StatusBadRequest:
				denied.Add(1)
			}
		}()
	}
	all.Wait()
	fmt.Println(denied.Load(), "denied", served.Load(), "served")
	return float64(denied.Load()) > 5+clients/500.0, nil
}
