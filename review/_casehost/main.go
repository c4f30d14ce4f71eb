// The processes of the cases in review/4 to review/8: they start the nodes of a small deployment
// with the command of the deploy file, and are the platform, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2 // the case couldn't run
)

// cases are the cases by number. Each plays its part and returns whether its rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (isBroken bool, err error){
	"bodies":  bodies,
	"paths":   paths,
	"slow":    slowBodies,
	"crashes": crashes,
	"silent":  silent,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: casehost CASE REPOSITORY FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, folder string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no case", name)
		return failed
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	store, err := startStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	d := &deployment{root: root, dir: dir, memoryMB: 284, graceS: 8, store: store, record: record}
	defer d.close()
	timeout := time.AfterFunc(110*time.Second, func() {
		d.close()
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(failed)
	})
	defer timeout.Stop()
	isBroken, err := run(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case isBroken:
		record.add("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	record.add("the rule held")
	fmt.Println("the rule held")
	return held
}

// configure writes a configuration as the operator does.
func (d *deployment) configure(version int, routes, services []any) {
	d.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "api_keys": []string{"9dnn2ctnfzs989anu6ws"}, "priority": 1}},
	})
	d.record.add("the operator writes version %d", version)
}

func route(name, prefix, kind, service string, timeoutMs, targetMs, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "pule25.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": targetMs,
		"priority": 1, "service": service, "max_attempts": attempts, "stages": []any{}, "anonymous": false, "sticky": false, "resumable": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}
}

func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_conns": 610, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 128, "kv_capacity": 286093, "kv_bytes": 131072, "bandwidth_mbps": 130000.0, "moves": true, "backups": true, "stride": 3, "most": 12,
			"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}
