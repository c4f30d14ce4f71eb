// Package rig starts a deployment as real processes, configured by the files of
// an example: the stand-ins, and an entry and a coord for each instance. The
// tests, the demo and the measurements use it.
package rig

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"

	"quinceroad/cmd/standin/proxy"
	"quinceroad/cmd/standin/upstream"
	"quinceroad/protocol/settings"
	"quinceroad/state/fleet"
)

const (
	portRangeSize   = 1000             // ports per rig
	portRangeCount  = 11               // maximum number of concurrent rigs
	guardPortOffset = 999              // within a range; the rig listens on it to reserve the range
	proxyPortOffset = 500              // of the first proxied route within a range; the proxy's control port is one below
	readyTimeout    = 20 * time.Second // of WaitUntil
	pollInterval    = 20 * time.Millisecond
	operatorToken   = "demo-operator"
)

// Options selects what a rig starts.
type Options struct {
	ExampleDir      string                   // folder of the example deployment
	BinDir          string                   // folder of the binaries
	OutputDir       string                   // folder for generated settings and logs
	UseExamplePorts bool                     // keep the ports of the example's files
	Proxy           bool                     // route links and the platform through the fault proxy
	CoordCount      int                      // if not 0, start this many coords without entries instead of the instances
	EditInstance    func(*settings.Instance) // changes the settings of an instance
	EditStandins    func(*upstream.Config)   // changes the settings of the stand-ins
}

// Rig is a running deployment.
type Rig struct {
	Instances      []*Instance
	Platform       string // IP:port, not proxied
	StandinControl string // IP:port of the control API of the upstreams' stand-in
	Fleet          *fleet.Fleet
	Declaration    string // the declaration of the example, in TOML

	opts         Options
	portOffset   int
	portGuard    net.Listener
	proxyControl string
	routes       []proxy.Route
	procs        []*Proc
}

// Instance holds the settings and the two processes of an instance.
type Instance struct {
	Name     string
	Settings *settings.Instance
	Entry    *Proc
	Coord    *Proc
}

// Start starts all processes and waits until each listens on its port.
func Start(o Options) (*Rig, error) {
	r := &Rig{opts: o}
	if err := r.reservePorts(); err != nil {
		return nil, err
	}
	if err := r.start(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// FirstPort is the first port of the examples and of the first rig; concurrent
// rigs use the port ranges above it. Other tests that run concurrently use ports
// below it.
const FirstPort = 21000

// reservePorts reserves a range of ports that no other rig uses, by listening on
// the range's guard port.
func (r *Rig) reservePorts() error {
	for i := range portRangeCount {
		if r.opts.UseExamplePorts && i > 0 {
			break
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", FirstPort+i*portRangeSize+guardPortOffset))
		if err == nil {
			r.portOffset, r.portGuard = i*portRangeSize, ln
			return nil
		}
	}
	return errors.New("rig: all port ranges are in use")
}

var (
	addrPattern = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)
	portPattern = regexp.MustCompile(`first_port = (\d+)`)
)

// readExample returns a file of the example with its ports moved to the rig's range.
func (r *Rig) readExample(name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(r.opts.ExampleDir, name))
	if err != nil {
		return nil, err
	}
	move := func(m []byte) []byte {
		digits := regexp.MustCompile(`\d+$`)
		return digits.ReplaceAllFunc(m, func(d []byte) []byte {
			n, _ := strconv.Atoi(string(d))
			return strconv.AppendInt(nil, int64(n+r.portOffset), 10)
		})
	}
	b = addrPattern.ReplaceAllFunc(b, move)
	return portPattern.ReplaceAllFunc(b, move), nil
}

func (r *Rig) start() error {
	if err := os.MkdirAll(r.opts.OutputDir, 0o755); err != nil {
		return err
	}
	if err := r.loadFleet(); err != nil {
		return err
	}
	if err := r.startStandins(); err != nil {
		return err
	}
	if err := r.addInstances(); err != nil {
		return err
	}
	if err := r.startProxy(); err != nil {
		return err
	}
	for _, in := range r.Instances {
		if err := r.StartCoord(in); err != nil {
			return err
		}
		if r.opts.CoordCount > 0 {
			continue
		}
		if err := r.StartEntry(in); err != nil {
			return err
		}
	}
	return nil
}

// addInstances adds the example's instances, or CoordCount copies of the first.
func (r *Rig) addInstances() error {
	files, err := filepath.Glob(filepath.Join(r.opts.ExampleDir, "instances", "*.toml"))
	if err != nil {
		return err
	}
	if r.opts.CoordCount > 0 {
		files = files[:1]
	}
	for _, f := range files {
		if err := r.addInstance(filepath.Join("instances", filepath.Base(f))); err != nil {
			return err
		}
	}
	for i := 1; i < r.opts.CoordCount; i++ {
		s := *r.Instances[0].Settings
		s.Name = fmt.Sprintf("many-%02d", i)
		s.Hall = r.Fleet.Halls[i%len(r.Fleet.Halls)]
		s.Coord = settings.Coord{Link: r.generatedAddr(i, 3), AdvertisedLink: r.generatedAddr(i, 3), Operators: r.generatedAddr(i, 4), Admin: r.generatedAddr(i, 5)}
		r.Instances = append(r.Instances, &Instance{Name: s.Name, Settings: &s})
	}
	return nil
}

// generatedAddr returns an address of the i-th generated instance, with the port
// layout of the examples.
func (r *Rig) generatedAddr(i, port int) string {
	return fmt.Sprintf("127.0.0.1:%d", FirstPort+r.portOffset+10+10*i+port)
}

func (r *Rig) loadFleet() error {
	b, err := r.readExample("fleet.toml")
	if err != nil {
		return err
	}
	r.Declaration = string(b)
	r.Fleet, err = settings.LoadFleet("fleet.toml", b)
	return err
}

func (r *Rig) startStandins() error {
	b, err := r.readExample("upstreams.toml")
	if err != nil {
		return err
	}
	c, err := upstream.Load("upstreams.toml", b)
	if err != nil {
		return err
	}
	if r.opts.EditStandins != nil {
		r.opts.EditStandins(c)
	}
	r.Platform, r.StandinControl = c.Platform, c.Control
	if _, err := r.startAndAwait(c.Platform, "platform", "quince-standin", "platform", "-listen", c.Platform); err != nil {
		return err
	}
	file, err := r.writeTOML("upstreams.toml", c)
	if err != nil {
		return err
	}
	_, err = r.startAndAwait(c.Control, "upstreams", "quince-standin", "upstream", "-config", file)
	return err
}

func (r *Rig) addInstance(name string) error {
	b, err := r.readExample(name)
	if err != nil {
		return err
	}
	s, err := settings.LoadInstance(name, b)
	if err != nil {
		return err
	}
	if r.opts.Proxy {
		s.Platform = r.addRoute(s.Name+"/platform", s.Platform, len(r.routes))
		s.Coord.AdvertisedLink = r.addRoute(s.Name+"/coord", s.Coord.Link, len(r.routes))
		s.Entry.AdvertisedLink = r.addRoute(s.Name+"/entry", s.Entry.Link, len(r.routes))
		s.Seeds = nil
	}
	if r.opts.EditInstance != nil {
		r.opts.EditInstance(s)
	}
	r.Instances = append(r.Instances, &Instance{Name: s.Name, Settings: s})
	return nil
}

// addRoute adds a proxy route to target and returns the address where the route
// listens.
func (r *Rig) addRoute(name, target string, n int) string {
	listen := fmt.Sprintf("127.0.0.1:%d", FirstPort+r.portOffset+proxyPortOffset+n)
	r.routes = append(r.routes, proxy.Route{Name: name, Listen: listen, Target: target})
	return listen
}

func (r *Rig) startProxy() error {
	if !r.opts.Proxy {
		return nil
	}
	for _, in := range r.Instances {
		for _, o := range r.Instances {
			if o != in {
				in.Settings.Seeds = append(in.Settings.Seeds, o.Settings.Coord.AdvertisedLink)
			}
		}
	}
	r.proxyControl = fmt.Sprintf("127.0.0.1:%d", FirstPort+r.portOffset+proxyPortOffset-1)
	file, err := r.writeTOML("proxy.toml", proxy.Config{Control: r.proxyControl, Routes: r.routes})
	if err != nil {
		return err
	}
	_, err = r.startAndAwait(r.proxyControl, "proxy", "quince-standin", "proxy", "-config", file)
	return err
}

func (r *Rig) writeTOML(name string, v any) (string, error) {
	b, err := toml.Marshal(v)
	if err != nil {
		return "", err
	}
	file := filepath.Join(r.opts.OutputDir, name)
	return file, os.WriteFile(file, b, 0o600)
}

// StartCoord starts or restarts the coord of an instance.
func (r *Rig) StartCoord(in *Instance) (err error) {
	in.Coord, err = r.startInstanceProcess(in, "quince-coord", "coord", in.Settings.Coord.Admin)
	return err
}

// StartEntry starts or restarts the entry of an instance.
func (r *Rig) StartEntry(in *Instance) (err error) {
	in.Entry, err = r.startInstanceProcess(in, "quince-entry", "entry", in.Settings.Entry.Admin)
	return err
}

func (r *Rig) startInstanceProcess(in *Instance, binary, kind, admin string) (*Proc, error) {
	file, err := r.writeTOML(in.Name+".toml", in.Settings)
	if err != nil {
		return nil, err
	}
	return r.startAndAwait(admin, in.Name+"-"+kind, binary, "-config", file)
}

// startAndAwait starts a process and waits until it listens on addr.
func (r *Rig) startAndAwait(addr, name, binary string, args ...string) (*Proc, error) {
	p, err := r.startProcess(name, binary, args...)
	if err != nil {
		return nil, err
	}
	err = r.WaitUntil(name+" listening on "+addr, func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil || p.hasExited()
	})
	if p.hasExited() {
		return nil, fmt.Errorf("rig: %s exited during startup; see its log in %s", name, r.opts.OutputDir)
	}
	return p, err
}

// WaitUntil polls cond until it is true, and returns an error that names what was
// awaited if it is not true within readyTimeout.
func (r *Rig) WaitUntil(what string, cond func() bool) error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if cond() {
			return nil
		}
	}
	return fmt.Errorf("rig: timeout after %s waiting for: %s", readyTimeout, what)
}
