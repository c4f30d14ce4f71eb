package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Offsets of the ports of a node from the first one.
const (
	portClients = iota
	portReady
	portPeers
	portDirectory
	portInternal
	portCount = portInternal + 8
)

// deployment is a set of nodes with the settings of a small deployment.
type deployment struct {
	root, dir string // of the repository; of the files of this run
	port      int    // first one, on all machines
	memoryMB  int
	graceS    int
	store     *store
	nodes     []*node
	record    *record

	mu      sync.Mutex
	servers []*server
}

// node is a machine that runs the role of the deploy file.
type node struct {
	d    *deployment
	name string
	ip   string
	zone string

	mu   sync.Mutex
	proc *os.Process // nil: it doesn't run
	ends []string    // how its processes have ended
	stop bool        // it isn't started again
}

var zones = []string{"hall-a", "hall-b", "okahandja", "rehoboth"}

// startNodes starts the nodes and waits until all are ready.
func startNodes(d *deployment, count int) error {
	port, err := freePorts(count)
	if err != nil {
		return err
	}
	d.port = port
	for i := range count {
		n := &node{d: d, name: fmt.Sprintf("edge-%d", i+1), ip: nodeIP(i), zone: zones[i%len(zones)]}
		d.nodes = append(d.nodes, n)
	}
	for i, n := range d.nodes {
		if err := n.writeSettings(i); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range d.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == count {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d nodes are ready after 20 s", ready, count)
		}
	}
}

// nodeIP returns the address of a machine; cases that run at the same time have others.
func nodeIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 20+pid/250%200, 1+pid%250, i+1)
}

// freePorts returns the first of some ports that are free on all machines.
func freePorts(count int) (int, error) {
	for port := 17000; port < 30000; port += portCount {
		if arePortsFree(port, count) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no ports are free")
}

func arePortsFree(port, count int) bool {
	for i := range count {
		for p := port; p < port+portCount; p++ {
			address := net.JoinHostPort(nodeIP(i), strconv.Itoa(p))
			ln, err := net.Listen("tcp4", address)
			if err != nil {
				return false
			}
			_ = ln.Close()
			u, err := net.ListenPacket("udp4", address)
			if err != nil {
				return false
			}
			_ = u.Close()
		}
	}
	return true
}

func (n *node) address(offset int) string {
	return net.JoinHostPort(n.ip, strconv.Itoa(n.d.port+offset))
}

func (n *node) settingsPath() string { return filepath.Join(n.d.dir, n.name+".conf") }

func (n *node) writeSettings(i int) error {
	d := n.d
	var seeds []string
	for _, x := range d.nodes[:min(3, len(d.nodes))] {
		seeds = append(seeds, x.address(portPeers))
	}
	lines := []string{
		"node_name=" + n.name, "role=node", "machine_class=edge", "serves=edge,control,registry", "ip=" + n.ip, "zone=" + n.zone, "region=khomas",
		"zones.hall-a=khomas", "zones.hall-b=khomas", "zones.okahandja=khomas", "zones.rehoboth=khomas",
		"listen.frontend=" + n.address(portClients), "listen.readiness=" + n.address(portReady),
		"listen.control_plane=" + n.address(portPeers), "listen.registry=" + n.address(portDirectory),
		fmt.Sprintf("internal_ports=%d,%d", d.port+portInternal, d.port+portCount-1), "seed_nodes=" + strings.Join(seeds, ","),
		"bootstrap=true", "counts_as_loss=false", "limits.cpu_quota=0.4", "limits.cpu_cores=1", fmt.Sprintf("limits.memory_mb=%d", d.memoryMB), "limits.max_fds=4100",
		"limits.bandwidth_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "ingress=registry", "heartbeat_ms=1200",
		"invariants=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages",
		"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000",
		fmt.Sprintf("bounds.grace_s=%d", d.graceS), "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.skew_bound_ms=5000",
		"bounds.revoke_everywhere=false", "bounds.revoke_ms=5000", "bounds.retry_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_slack=52", "bounds.recover_s=12",
		"bounds.pass_ms=120", "bounds.retry_after_s=9.6", "bounds.ttl_max_s=5", "platform.address=" + d.store.address, "platform.form=kv",
		"platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	return os.WriteFile(n.settingsPath(), []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// start starts the node's process with the command of the deploy file. When it ends it is
// started again after a short delay, as the platform does.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(n.d.root, "target/quince-node"))
	cmd.Dir = n.d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.d.dir, "LANG=C", "QUINCEROAD_BOOT=" + n.settingsPath()}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.proc = cmd.Process
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		n.mu.Lock()
		n.proc = nil
		n.ends = append(n.ends, fmt.Sprint(err))
		isLast := n.stop
		n.mu.Unlock()
		if isLast {
			return
		}
		n.d.record.add("%s: its process has ended (%v)", n.name, err)
		time.Sleep(300 * time.Millisecond)
		if err := n.start(); err != nil {
			n.d.record.add("%s: not started again: %v", n.name, err)
		}
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proc != nil {
		_ = n.proc.Signal(s)
	}
}

// memory returns the memory of the node's process in bytes, 0 if it doesn't run.
func (n *node) memory() int {
	n.mu.Lock()
	p := n.proc
	n.mu.Unlock()
	if p == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Pid))
	f := strings.Fields(string(data))
	if err != nil || len(f) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(f[1])
	return pages * os.Getpagesize()
}

func (n *node) endCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.ends)
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.address(portReady) + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.mu.Lock()
		n.stop = true
		n.mu.Unlock()
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(200 * time.Millisecond)
}

// record is what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the seconds from the beginning of the record, 0 for no time.
func (r *record) since(t time.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return t.Sub(r.started).Seconds()
}
