// Command quince-standin simulates external systems in tests and demonstrations: the
// platform's service, upstreams, and a network with faults.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/cmd/standin/platform"
	"quinceroad/cmd/standin/proxy"
	"quinceroad/cmd/standin/upstream"
	"quinceroad/transport/web"
)

const usage = `usage: quince-standin platform -listen IP:PORT
       quince-standin upstream -config FILE
       quince-standin proxy -config FILE

examples:
  quince-standin platform -listen 127.0.0.1:7000
  quince-standin upstream -config examples/kalahari/upstreams.toml
`

func main() {
	flags := flag.NewFlagSet("quince-standin", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:7000", "the platform's address")
	config := flags.String("config", "", "settings of upstream or proxy")
	flags.Usage = func() { fmt.Fprint(os.Stderr, usage); flags.PrintDefaults() }
	if len(os.Args) < 2 {
		flags.Usage()
		os.Exit(process.ExitUsage)
	}
	_ = flags.Parse(os.Args[2:]) // ExitOnError: Parse returns no error
	p, err := build(os.Args[1], *listen, *config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.ExitUsage)
	}
	os.Exit(process.Run(p))
}

func build(kind, listen, config string) (process.Process, error) {
	switch kind {
	case "platform":
		return &platformProcess{addr: listen}, nil
	case "upstream":
		c, err := process.Load(config, upstream.Load)
		if err != nil {
			return nil, err
		}
		return upstream.New(c), nil
	case "proxy":
		c, err := process.Load(config, proxy.Load)
		if err != nil {
			return nil, err
		}
		return proxy.New(c), nil
	}
	return nil, fmt.Errorf("quince-standin: unknown kind %q\n%s", kind, usage)
}

// platformProcess serves the stand-in for the platform's service.
type platformProcess struct {
	addr string
	http *web.Server
}

// Start implements process.Process.
func (p *platformProcess) Start() (err error) {
	p.http, err = web.Listen(p.addr, platform.New().Handler, func(v any) { fmt.Fprintln(os.Stderr, v) })
	return err
}

// Stop implements process.Process.
func (p *platformProcess) Stop() error {
	p.http.Stop(time.Second)
	return nil
}
