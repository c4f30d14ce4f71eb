package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Plan declares a comparison: every variant runs every day of every site with
// every seed.
type Plan struct {
	Sites    []string  // site files, relative to the plan's folder
	Days     []string  // names of the sites' days, or files (.toml) of other days
	Seeds    []uint64  // of the bench; 0 for the day's own
	Args     []string  // additional arguments of each run, such as --no-cpu
	Variants []Variant `toml:"way"`
}

// Variant is one version of the sources, [[way]] in a plan. Without a revision
// or a tree it is HEAD. The first variant of a plan is the baseline.
type Variant struct {
	Name     string
	Revision string // of git
	Tree     string // an existing tree to use as it is, instead of a revision
	Patch    string // patch file that is applied to the revision
	Edits    []Edit `toml:"replace"` // applied after the patch, for example to settings or constants
}

// Edit replaces one text by another in a file of the sources.
type Edit struct {
	File, From, To string
}

// readPlan reads and validates a plan.
func readPlan(name string) (*Plan, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := toml.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	planDir := filepath.Dir(name)
	for i, s := range p.Sites {
		p.Sites[i] = resolvePath(planDir, s)
	}
	for i, d := range p.Days {
		if filepath.Ext(d) == ".toml" {
			p.Days[i] = resolvePath(planDir, d)
		}
	}
	for i := range p.Variants {
		p.Variants[i].Patch = resolvePath(planDir, p.Variants[i].Patch)
		p.Variants[i].Tree = resolvePath(planDir, p.Variants[i].Tree)
	}
	return p, nil
}

// resolvePath returns path relative to folder; absolute and empty paths are
// returned unchanged.
func resolvePath(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

func (p *Plan) check() error {
	switch {
	case len(p.Sites) == 0:
		return errors.New("the plan has no sites")
	case len(p.Days) == 0:
		return errors.New("the plan has no days")
	case len(p.Variants) < 2:
		return errors.New("the plan has fewer than two ways: nothing to compare")
	}
	if len(p.Seeds) == 0 {
		p.Seeds = []uint64{0}
	}
	var names []string
	for _, v := range p.Variants {
		switch {
		case v.Name == "" || slices.Contains(names, v.Name):
			return fmt.Errorf("way %q: each way needs a unique name", v.Name)
		case v.Tree != "" && (v.Revision != "" || v.Patch != "" || len(v.Edits) > 0):
			return fmt.Errorf("way %s: a tree can't be combined with a revision, patch or replace", v.Name)
		}
		names = append(names, v.Name)
	}
	return nil
}

// Pair is the key by which runs of several variants are compared.
type Pair struct {
	Site, Day string // without folder and extension
	Seed      uint64
}

// String returns the prefix of the names of the pair's files.
func (p Pair) String() string { return fmt.Sprintf("%s-%s-%d", p.Site, p.Day, p.Seed) }

// Run is one day with one variant.
type Run struct {
	Pair
	Variant *Variant
	site    string // file
	day     string // name, or file
}

// runs returns all runs. Those of one day and seed are adjacent, so that a
// comparison that is stopped halfway has pairs.
func (p *Plan) runs() []Run {
	var out []Run
	for _, seed := range p.Seeds {
		for _, site := range p.Sites {
			for _, day := range p.Days {
				for i := range p.Variants {
					out = append(out, Run{Pair: Pair{baseName(site), baseName(day), seed}, Variant: &p.Variants[i], site: site, day: day})
				}
			}
		}
	}
	return out
}

// baseName returns the name of a file without folder and extension.
func baseName(path string) string {
	name := filepath.Base(path)
	return name[:len(name)-len(filepath.Ext(name))]
}
