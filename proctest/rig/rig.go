// Package rig starts a deployment as real processes: the stand-ins, and an
// entry and a coord per instance, from an example's files. Tests, the
// demonstration and the measurements share it.
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
	portStep   = 1000
	portSteps  = 11
	guardPort  = 999 // within a step: held while a rig lives
	proxyPort  = 500 // added to a port for its proxied form
	readyLimit = 20 * time.Second
	readyPoll  = 20 * time.Millisecond
	token      = "demo-operator"
)

// Options choose what a rig starts.
type Options struct {
	ExampleDir      string                   // folder
	BinDir          string                   // folder of the binaries
	OutputDir       string                   // for generated settings and logs
	UseExamplePorts bool                     // use the example's own ports
	Proxy           bool                     // put the fault proxy before links and platform
	CoordCount      int                      // so many coords instead of the example's instances, and no entries
	EditInstance    func(*settings.Instance) // changes an instance's settings
	EditStandins    func(*upstream.Config)   // changes the stand-ins' settings
}

// Rig is a running deployment.
type Rig struct {
	Instances      []*Instance
	Platform       string // IP:port, not proxied
	StandinControl string // of the upstreams' stand-in
	Fleet          *fleet.Fleet
	Declaration    string // the declaration

	opts   Options
	shift  int
	guard  net.Listener
	proxy  string
	routes []proxy.Route
	procs  []*Proc
}

// Instance is one instance's two processes.
type Instance struct {
	Name     string
	Settings *settings.Instance
	Entry    *Proc
	Coord    *Proc
}

// Start starts everything and waits until each entry may be given work.
func Start(o Options) (*Rig, error) {
	r := &Rig{opts: o}
	if err := r.reserve(); err != nil {
		return nil, err
	}
	if err := r.start(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// FirstPort is the first port of the examples and of the first rig; further
// rigs take those above. Other tests that run beside keep below it.
const FirstPort = 21000

// reserve finds a range of ports that no other rig uses.
func (r *Rig) reserve() error {
	for i := range portSteps {
		if r.opts.UseExamplePorts && i > 0 {
			break
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", FirstPort+i*portStep+guardPort))
		if err == nil {
			r.shift, r.guard = i*portStep, ln
			return nil
		}
	}
	return errors.New("rig: all port ranges are in use")
}

var (
	addrPattern = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)
	portPattern = regexp.MustCompile(`first_port = (\d+)`)
)

// read returns an example's file with its ports moved to the rig's range.
func (r *Rig) read(name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(r.opts.ExampleDir, name))
	if err != nil {
		return nil, err
	}
	move := func(m []byte) []byte {
		digits := regexp.MustCompile(`\d+$`)
		return digits.ReplaceAllFunc(m, func(d []byte) []byte {
			n, _ := strconv.Atoi(string(d))
			return strconv.AppendInt(nil, int64(n+r.shift), 10)
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

// addInstances takes the example's instances, or makes many like its first.
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
		s.Coord = settings.Coord{Link: r.manyAddr(i, 3), AdvertisedLink: r.manyAddr(i, 3), Operators: r.manyAddr(i, 4), Admin: r.manyAddr(i, 5)}
		r.Instances = append(r.Instances, &Instance{Name: s.Name, Settings: &s})
	}
	return nil
}

// manyAddr is a port of the i-th made instance, laid out as in the examples.
func (r *Rig) manyAddr(i, port int) string {
	return fmt.Sprintf("127.0.0.1:%d", FirstPort+r.shift+10+10*i+port)
}

func (r *Rig) loadFleet() error {
	b, err := r.read("fleet.toml")
	if err != nil {
		return err
	}
	r.Declaration = string(b)
	r.Fleet, err = settings.LoadFleet("fleet.toml", b)
	return err
}

func (r *Rig) startStandins() error {
	b, err := r.read("upstreams.toml")
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
	if _, err := r.run(c.Platform, "platform", "quince-standin", "platform", "-listen", c.Platform); err != nil {
		return err
	}
	file, err := r.write("upstreams.toml", c)
	if err != nil {
		return err
	}
	_, err = r.run(c.Control, "upstreams", "quince-standin", "upstream", "-config", file)
	return err
}

func (r *Rig) addInstance(name string) error {
	b, err := r.read(name)
	if err != nil {
		return err
	}
	s, err := settings.LoadInstance(name, b)
	if err != nil {
		return err
	}
	if r.opts.Proxy {
		s.Platform = r.proxied(s.Name+"/platform", s.Platform, len(r.routes))
		s.Coord.AdvertisedLink = r.proxied(s.Name+"/coord", s.Coord.Link, len(r.routes))
		s.Entry.AdvertisedLink = r.proxied(s.Name+"/entry", s.Entry.Link, len(r.routes))
		s.Seeds = nil
	}
	if r.opts.EditInstance != nil {
		r.opts.EditInstance(s)
	}
	r.Instances = append(r.Instances, &Instance{Name: s.Name, Settings: s})
	return nil
}

// proxied adds a route before target and returns where it listens.
func (r *Rig) proxied(name, target string, n int) string {
	listen := fmt.Sprintf("127.0.0.1:%d", FirstPort+r.shift+proxyPort+n)
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
	r.proxy = fmt.Sprintf("127.0.0.1:%d", FirstPort+r.shift+proxyPort-1)
	file, err := r.write("proxy.toml", proxy.Config{Control: r.proxy, Routes: r.routes})
	if err != nil {
		return err
	}
	_, err = r.run(r.proxy, "proxy", "quince-standin", "proxy", "-config", file)
	return err
}

func (r *Rig) write(name string, v any) (string, error) {
	b, err := toml.Marshal(v)
	if err != nil {
		return "", err
	}
	file := filepath.Join(r.opts.OutputDir, name)
	return file, os.WriteFile(file, b, 0o600)
}

// StartCoord starts, or starts again, an instance's coord.
func (r *Rig) StartCoord(in *Instance) (err error) {
	in.Coord, err = r.startProc(in, "quince-coord", "coord", in.Settings.Coord.Admin)
	return err
}

// StartEntry starts, or starts again, an instance's entry.
func (r *Rig) StartEntry(in *Instance) (err error) {
	in.Entry, err = r.startProc(in, "quince-entry", "entry", in.Settings.Entry.Admin)
	return err
}

func (r *Rig) startProc(in *Instance, binary, kind, admin string) (*Proc, error) {
	file, err := r.write(in.Name+".toml", in.Settings)
	if err != nil {
		return nil, err
	}
	return r.run(admin, in.Name+"-"+kind, binary, "-config", file)
}

// run starts a process and waits until it listens on addr.
func (r *Rig) run(addr, name, binary string, args ...string) (*Proc, error) {
	p, err := r.exec(name, binary, args...)
	if err != nil {
		return nil, err
	}
	err = r.WaitUntil(name+" listening on "+addr, func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil || p.ended()
	})
	if p.ended() {
		return nil, fmt.Errorf("rig: %s ended; see its log in %s", name, r.opts.OutputDir)
	}
	return p, err
}

// Until polls cond for as long as a deployment may take to settle.
func (r *Rig) WaitUntil(what string, cond func() bool) error {
	for until := time.Now().Add(readyLimit); time.Now().Before(until); time.Sleep(readyPoll) {
		if cond() {
			return nil
		}
	}
	return fmt.Errorf("rig: not in %s: %s", readyLimit, what)
}
