// Package upstream is a small stand-in for replicas of services: model engines that
// batch, cache prefixes and stream, pools, and plain services. It injects faults on command
// and records every execution in a journal, from which a checker can verify the system
// independently of what the system itself reports.
package upstream

import (
	"fmt"
	"time"

	"quinceroad/protocol/settings"
)

// Config is the stand-in's settings file.
type Config struct {
	Platform string    `toml:"platform"` // IP:port of the platform, where the replicas are registered
	Control  string    `toml:"control"`  // IP:port of the calls for the journal, orders and faults
	Host     string    `toml:"host"`     // IP of the replicas
	Services []Service `toml:"service"`
}

// Service describes the replicas of a service.
type Service struct {
	Name      string  `toml:"name"`
	Slots     int     `toml:"slots"`
	MeanMS    float64 `toml:"mean_ms"` // mean time that a request holds a slot
	Sigma     float64 `toml:"sigma"`   // standard deviation of that time's logarithm; 0: constant time
	FirstPort int     `toml:"first_port"`
	Halls     []Hall  `toml:"hall"`
	Streams   bool    `toml:"streams"`       // model engines: batch, cache prefixes and stream tokens
	Fences    bool    `toml:"checks_fences"` // reject orders with a lower fencing token than an earlier one
	LoadLagMS int     `toml:"load_lag_ms"`   // age of the load that a replica reports
}

// Hall is the number of a service's replicas in a hall.
type Hall struct {
	Name     string `toml:"name"`
	Replicas int    `toml:"replicas"`
}

func (s *Service) meanTime() time.Duration {
	return time.Duration(s.MeanMS * float64(time.Millisecond))
}

// Load reads and checks a settings file.
func Load(file string, data []byte) (*Config, error) {
	var c Config
	d := settings.Decode(file, data, &c)
	if err := d.Err(); err != nil {
		return nil, err
	}
	for i, s := range c.Services {
		if s.Slots < 1 || s.FirstPort < 1 || s.MeanMS <= 0 {
			d.Add(fmt.Sprintf("service[%d]", i), "wants slots, first_port and mean_ms above 0")
		}
	}
	return &c, d.Err()
}
