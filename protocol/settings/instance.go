package settings

import (
	"encoding/hex"
	"net/netip"
	"slices"
)

// Instance is the settings file of one instance, which its entry and its coord
// both read.
type Instance struct {
	Name       string     `toml:"name"`
	Hall       string     `toml:"hall"`
	Region     string     `toml:"region"`
	Platform   string     `toml:"platform"`   // IP:port of the platform's service
	LogLevel   string     `toml:"log_level"`  // trace, debug, info, warn or error
	LogFormat  string     `toml:"log_format"` // text or json
	TicketKeys []string   `toml:"ticket_keys"`
	Seeds      []string   `toml:"seeds"` // IP:port of the links of coords that are contacted at startup
	Entry      Entry      `toml:"entry"`
	Coord      Coord      `toml:"coord"`
	Operators  []Operator `toml:"operator"`
}

// Entry holds the listen addresses of the entry process, all IP:port.
type Entry struct {
	HTTP           string `toml:"http"`  // for callers
	Link           string `toml:"link"`  // for peers
	AdvertisedLink string `toml:"known"` // address of Link as seen by peers; defaults to Link
	Admin          string `toml:"admin"` // metrics, health, state dump
}

// Coord holds the listen addresses of the coord process, all IP:port.
type Coord struct {
	Link           string `toml:"link"`      // for the local entry and peers
	AdvertisedLink string `toml:"known"`     // address of Link as seen by peers; defaults to Link
	Operators      string `toml:"operators"` // intent API
	Admin          string `toml:"admin"`     // metrics, health, state dump
}

// Operator is a user of the intent API.
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
	d.requireValue("name", s.Name)
	d.requireValue("hall", s.Hall)
	d.requireValue("region", s.Region)
	d.requireOneOf("log_level", s.LogLevel, "", "trace", "debug", "info", "warn", "error")
	d.requireOneOf("log_format", s.LogFormat, "", "text", "json")
	d.requireAddress("platform", s.Platform)
	d.requireAddress("entry.http", s.Entry.HTTP)
	d.requireAddress("entry.link", s.Entry.Link)
	d.requireAddress("entry.admin", s.Entry.Admin)
	d.requireAddress("coord.link", s.Coord.Link)
	d.requireAddress("coord.operators", s.Coord.Operators)
	d.requireAddress("coord.admin", s.Coord.Admin)
	if s.Entry.AdvertisedLink == "" {
		s.Entry.AdvertisedLink = s.Entry.Link
	}
	if s.Coord.AdvertisedLink == "" {
		s.Coord.AdvertisedLink = s.Coord.Link
	}
	d.requireAddress("entry.known", s.Entry.AdvertisedLink)
	d.requireAddress("coord.known", s.Coord.AdvertisedLink)
	for i, a := range s.Seeds {
		d.requireAddress(indexedKey("seeds", i), a)
	}
	if len(s.TicketKeys) == 0 {
		d.Add("ticket_keys", "needs at least one key")
	}
	for i, k := range s.TicketKeys {
		if b, err := hex.DecodeString(k); err != nil || len(b) < minKeyBytes {
			d.Add(indexedKey("ticket_keys", i), "must have at least %d bytes, in hex", minKeyBytes)
		}
	}
	names := d.newUniqueNames("operator")
	for i, o := range s.Operators {
		names.add(i, o.Name)
		d.requireDigest(indexedKey("operator", i)+".token_sha256", o.TokenSHA256)
	}
	return &s, d.Err()
}

// Keys returns the decoded ticket keys; the first is used for signing.
func (s *Instance) Keys() [][]byte {
	out := make([][]byte, len(s.TicketKeys))
	for i, k := range s.TicketKeys {
		out[i], _ = hex.DecodeString(k) // checked by LoadInstance
	}
	return out
}

func (d *Document) requireValue(key, value string) {
	if value == "" {
		d.Add(key, "is missing")
	}
}

func (d *Document) requireOneOf(key, value string, names ...string) {
	if slices.Contains(names, value) {
		return
	}
	if hint := closestName(value, names); hint != "" {
		d.Add(key, "unknown value %q; did you mean %q?", value, hint)
		return
	}
	d.Add(key, "unknown value %q; must be one of %q", value, names)
}

// requireAddress accepts only IP:port, since the platform has no host names.
func (d *Document) requireAddress(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.Add(key, "must be IP:port, got %q", value)
	}
}

func (d *Document) requireDigest(key, value string) {
	if b, err := hex.DecodeString(value); err != nil || len(b) != 32 {
		d.Add(key, "must be a SHA-256 digest in hex")
	}
}
