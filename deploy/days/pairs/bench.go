package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"quinceroad/deploy/days/pairs/cover"
)

// site is what is read of a site file.
type site struct {
	Troubles []cover.Trouble `toml:"troubles"`
	Days     []struct {
		Plan []map[string]any `toml:"plan"`
	} `toml:"day"`
}

// readSite reads a site file. It is an error if that lists no troubles.
func readSite(path string) (*site, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &site{}
	if err := toml.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(s.Troubles) == 0 {
		return nil, fmt.Errorf("%s lists no troubles", path)
	}
	for i, t := range s.Troubles {
		if kind, ok := t["kind"].(string); !ok || kind == "" {
			return nil, fmt.Errorf("%s: trouble %d names no kind", path, i)
		}
	}
	return s, nil
}

// plannedKinds returns the kinds that the site's own days hold as planned work.
func (s *site) plannedKinds() map[string]bool {
	kinds := make(map[string]bool)
	for _, d := range s.Days {
		for _, entry := range d.Plan {
			if kind, ok := entry["kind"].(string); ok {
				kinds[kind] = true
			}
		}
	}
	return kinds
}

// withVariants returns the site's troubles and, for each of its kinds, those variants that it does not
// list itself, with the doses of the first entry of that kind.
func withVariants(troubles []cover.Trouble, variants map[string][]string) []cover.Trouble {
	out := append([]cover.Trouble(nil), troubles...)
	listed := make(map[string]bool)
	for _, t := range troubles {
		listed[variantOf(t)] = true
	}
	for _, t := range troubles {
		kind, _ := t["kind"].(string)
		for _, how := range variants[kind] {
			v := make(cover.Trouble, len(t)+1)
			for name, value := range t {
				v[name] = value
			}
			v["how"] = how
			if !listed[variantOf(v)] {
				listed[variantOf(v)] = true
				out = append(out, v)
			}
		}
	}
	return out
}

func variantOf(t cover.Trouble) string { return fmt.Sprint(t["kind"], " ", t["how"]) }

// writeDay writes a day as the bench reads it.
func writeDay(path string, d *cover.Day, entries []cover.Entry, planned map[string]bool) error {
	plan, faults := []map[string]any{}, []map[string]any{}
	for _, e := range entries {
		entry := map[string]any{"at": e.At}
		for name, value := range e.Trouble {
			entry[name] = value
		}
		if kind, _ := e.Trouble["kind"].(string); planned[kind] {
			plan = append(plan, entry)
		} else {
			faults = append(faults, entry)
		}
	}
	day := map[string]any{"name": d.Name, "length_s": d.Length(), "plan": plan, "faults": faults}
	data, err := toml.Marshal(map[string]any{"day": []any{day}})
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// bench plays days on a site.
type bench struct {
	program string
	site    string
	dir     string // of the days and what their plays printed
	planned map[string]bool
}

var brokenRules = regexp.MustCompile(`(?m)^rules broken: (.*)$`)

// play plays some entries of a day, and returns the rules that were broken, "" if none was. It is an
// error if the day was not played to its end.
func (b *bench) play(d *cover.Day, entries []cover.Entry, label string) (broken string, err error) {
	name := filepath.Join(b.dir, d.Name+label)
	if err := writeDay(name+".toml", d, entries, b.planned); err != nil {
		return "", err
	}
	out, runErr := exec.Command(b.program, "run", b.site, name+".toml", "--seed", "1", "--jobs", "1", "--why", "pairs of troubles: "+d.Name+label).CombinedOutput()
	if err := os.WriteFile(name+".txt", out, 0o644); err != nil {
		return "", err
	}
	if m := brokenRules.FindSubmatch(out); m != nil {
		return string(m[1]), nil
	}
	if !strings.Contains(string(out), "worth") {
		return "", fmt.Errorf("%s was not played: %w: %s", name, runErr, lastLine(out))
	}
	return "", nil
}

func lastLine(out []byte) string {
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	return lines[len(lines)-1]
}
