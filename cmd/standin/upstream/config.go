// Package upstream is a small stand-in of services' replicas: model engines
// that batch, cache prefixes and stream, pools, and plain services. It
// journals every execution, so that a checker need not trust the system, and
// does wrong on command.
package upstream

import (
	"fmt"
	"time"

	"quinceroad/protocol/settings"
)

// Config is the stand-in's settings file.
type Config struct {
	Platform string    `toml:"platform"` // IP:port, where the replicas are registered
	Control  string    `toml:"control"`  // IP:port of the journal and the faults
	Host     string    `toml:"host"`     // IP of the replicas
	Services []Service `toml:"service"`
}

// Service is one service's replicas.
type Service struct {
	Name      string  `toml:"name"`
	Slots     int     `toml:"slots"`
	MeanMS    float64 `toml:"mean_ms"` // of the time in a slot
	Sigma     float64 `toml:"sigma"`   // of its lognormal factor
	FirstPort int     `toml:"first_port"`
	Halls     []Hall  `toml:"hall"`
	Streams   bool    `toml:"streams"`
	Fences    bool    `toml:"checks_fences"`
	LoadLagMS int     `toml:"load_lag_ms"`
}

// Hall says how many replicas stand in a hall.
type Hall struct {
	Name     string `toml:"name"`
	Replicas int    `toml:"replicas"`
}

func (s *Service) mean() time.Duration {
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
