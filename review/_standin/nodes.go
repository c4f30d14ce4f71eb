package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is one quince-node process with its settings.
type node struct {
	name, ip string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	front    string
	ready    string
}

// ports are the same on all machines of a run.
type ports struct{ front, ready, control, registry, internal int }

// freePorts looks for ports that are free on all the addresses.
func freePorts(ips []string) (ports, error) {
	for base := 21000 + os.Getpid()%200*100; base < 60000; base += 100 {
		free := true
		for _, ip := range ips {
			for p := base; p < base+20 && free; p++ {
				ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 4}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func newNodes(dir, storeAddr string, zones []string, count int) ([]*node, error) {
	var ips []string
	for i := range count {
		ips = append(ips, fmt.Sprintf("127.78.%d.%d", 1+i%len(zones), 11+i/len(zones)))
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	var seeds, halls []string
	for _, ip := range ips[:min(3, count)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, p.control))
	}
	for _, z := range zones {
		halls = append(halls, fmt.Sprintf("zones.%s=region-1", z))
	}
	var out []*node
	for i, ip := range ips {
		zone := zones[i%len(zones)]
		n := &node{name: fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones)), ip: ip, front: fmt.Sprintf("%s:%d", ip, p.front), ready: fmt.Sprintf("%s:%d", ip, p.ready)}
		lines := []string{
			"node_name=" + n.name, "role=node", "machine_class=edge", "serves=edge,control,registry", "ip=" + ip, "zone=" + zone, "region=region-1",
			"listen.frontend=" + n.front, "listen.readiness=" + n.ready, fmt.Sprintf("listen.control_plane=%s:%d", ip, p.control), fmt.Sprintf("listen.registry=%s:%d", ip, p.registry),
			fmt.Sprintf("internal_ports=%d,%d", p.internal, p.internal+15), "seed_nodes=" + strings.Join(seeds, ","), "bootstrap=true", "counts_as_loss=false",
			"limits.cpu_quota=0.4", "limits.cpu_cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.bandwidth_mbps=1000.0", "limits.disk_mb=0",
			"discovery=platform", "ingress=registry", "heartbeat_ms=1200", "invariants=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages",
			"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0", "bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000",
			"bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
			"bounds.rollback_slack_ms=250", "bounds.skew_bound_ms=5000", "bounds.revoke_everywhere=false", "bounds.revoke_ms=5000", "bounds.retry_ratio=0.2",
			"bounds.retry_window_s=10", "bounds.retry_slack=52", "bounds.recover_s=12", "bounds.pass_ms=120", "bounds.retry_after_s=9.6", "bounds.ttl_max_s=5",
			"platform.address=" + storeAddr, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
			"platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
		}
		lines = append(lines, halls...)
		n.settings = filepath.Join(dir, n.name+".conf")
		if err := os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			return nil, err
		}
		if n.log, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
			return nil, err
		}
		out = append(out, n)
	}
	return out, nil
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	n.cmd = exec.Command("target/quince-node")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "QUINCEROAD_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.cmd.Start()
}

func (n *node) kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
		n.cmd = nil
	}
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + n.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}
