package settings

import (
	"encoding/hex"
	"net/netip"
	"slices"
)

// Instance is the settings file of one instance; its entry and its coord read
// the same file.
type Instance struct {
	Name       string     `toml:"name"`
	Hall       string     `toml:"hall"`
	Region     string     `toml:"region"`
	Platform   string     `toml:"platform"`   // IP:port of the platform's service
	LogLevel   string     `toml:"log_level"`  // trace, debug, info, warn or error
	LogFormat  string     `toml:"log_format"` // text or json
	TicketKeys []string   `toml:"ticket_keys"`
	Seeds      []string   `toml:"seeds"` // IP:port of some coords' links
	Entry      Entry      `toml:"entry"`
	Coord      Coord      `toml:"coord"`
	Operators  []Operator `toml:"operator"`
}

// Entry is where the entry process listens; all are IP:port.
type Entry struct {
	HTTP           string `toml:"http"`  // callers
	Link           string `toml:"link"`  // peers
	AdvertisedLink string `toml:"known"` // the link as peers reach it, when not the same
	Admin          string `toml:"admin"` // metrics, health, state dump
}

// Coord is where the coord process listens; all are IP:port.
type Coord struct {
	Link           string `toml:"link"`      // local entry and peers
	AdvertisedLink string `toml:"known"`     // the link as peers reach it, when not the same
	Operators      string `toml:"operators"` // intent API
	Admin          string `toml:"admin"`     // metrics, health, state dump
}

// Operator may use the intent API.
type Operator struct {
	Name        string `toml:"name"`
	TokenSHA256 string `toml:"token_sha256"`
}

const minKeyBytes = 16

// LoadInstance reads and checks an instance's settings.
func LoadInstance(file string, data []byte) (*Instance, error) {
	var s Instance
	d := Decode(file, data, &s)
	if err := d.Err(); err != nil {
		return nil, err
	}
	d.need("name", s.Name)
	d.need("hall", s.Hall)
	d.need("region", s.Region)
	d.oneOf("log_level", s.LogLevel, "", "trace", "debug", "info", "warn", "error")
	d.oneOf("log_format", s.LogFormat, "", "text", "json")
	d.address("platform", s.Platform)
	d.address("entry.http", s.Entry.HTTP)
	d.address("entry.link", s.Entry.Link)
	d.address("entry.admin", s.Entry.Admin)
	d.address("coord.link", s.Coord.Link)
	d.address("coord.operators", s.Coord.Operators)
	d.address("coord.admin", s.Coord.Admin)
	if s.Entry.AdvertisedLink == "" {
		s.Entry.AdvertisedLink = s.Entry.Link
	}
	if s.Coord.AdvertisedLink == "" {
		s.Coord.AdvertisedLink = s.Coord.Link
	}
	d.address("entry.known", s.Entry.AdvertisedLink)
	d.address("coord.known", s.Coord.AdvertisedLink)
	for i, a := range s.Seeds {
		d.address(elem("seeds", i), a)
	}
	if len(s.TicketKeys) == 0 {
		d.Add("ticket_keys", "wants at least one key")
	}
	for i, k := range s.TicketKeys {
		if b, err := hex.DecodeString(k); err != nil || len(b) < minKeyBytes {
			d.Add(elem("ticket_keys", i), "wants at least %d bytes in hex", minKeyBytes)
		}
	}
	names := d.unique("operator")
	for i, o := range s.Operators {
		names.add(i, o.Name)
		d.digest(elem("operator", i)+".token_sha256", o.TokenSHA256)
	}
	return &s, d.Err()
}

// Keys returns the ticket keys; the first signs.
func (s *Instance) Keys() [][]byte {
	out := make([][]byte, len(s.TicketKeys))
	for i, k := range s.TicketKeys {
		out[i], _ = hex.DecodeString(k) // checked by LoadInstance
	}
	return out
}

func (d *Document) need(key, value string) {
	if value == "" {
		d.Add(key, "is missing")
	}
}

func (d *Document) oneOf(key, value string, names ...string) {
	if slices.Contains(names, value) {
		return
	}
	if hint := nearest(value, names); hint != "" {
		d.Add(key, "unknown value %q; did you mean %q?", value, hint)
		return
	}
	d.Add(key, "unknown value %q; wants one of %q", value, names)
}

// address wants IP:port, since the platform names nothing by host name.
func (d *Document) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.Add(key, "wants IP:port, has %q", value)
	}
}

func (d *Document) digest(key, value string) {
	if b, err := hex.DecodeString(value); err != nil || len(b) != 32 {
		d.Add(key, "wants a SHA-256 digest in hex")
	}
}
