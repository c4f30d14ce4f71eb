package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Plan is what to compare: every way on every day of every site with every seed.
type Plan struct {
	Sites    []string  // site files; relative ones are looked for beside the plan
	Days     []string  // names of the sites' days, or files with days of one's own
	Seeds    []uint64  // of the bench; 0 for the day's own
	Args     []string  // further arguments of each play, such as --no-cpu
	Variants []Variant `toml:"way"`
}

// Way is one form of the sources. Without a revision or a tree it is the
// revision that is checked out.
type Variant struct {
	Name     string
	Revision string // of git
	Tree     string // a checked-out tree to play as it stands, in place of a revision
	Patch    string // file of a patch that is put on the revision
	Edits    []Edit `toml:"replace"` // edits of files, after the patch: switches in settings, constants
}

// Replace puts one text in another's place in a file of the sources.
type Edit struct {
	File, From, To string
}

// readPlan reads a plan and checks it.
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
	beside := filepath.Dir(name)
	for i, s := range p.Sites {
		p.Sites[i] = from(beside, s)
	}
	for i, d := range p.Days {
		if filepath.Ext(d) == ".toml" {
			p.Days[i] = from(beside, d)
		}
	}
	for i := range p.Variants {
		p.Variants[i].Patch = from(beside, p.Variants[i].Patch)
		p.Variants[i].Tree = from(beside, p.Variants[i].Tree)
	}
	return p, nil
}

// from returns a path as seen from a folder; "" stays "".
func from(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

func (p *Plan) check() error {
	switch {
	case len(p.Sites) == 0:
		return errors.New("no site is named")
	case len(p.Days) == 0:
		return errors.New("no day is named")
	case len(p.Variants) < 2:
		return errors.New("fewer than two ways: nothing to compare")
	}
	if len(p.Seeds) == 0 {
		p.Seeds = []uint64{0}
	}
	var names []string
	for _, w := range p.Variants {
		switch {
		case w.Name == "" || slices.Contains(names, w.Name):
			return fmt.Errorf("way %q: each way needs a name of its own", w.Name)
		case w.Tree != "" && (w.Revision != "" || w.Patch != "" || len(w.Edits) > 0):
			return fmt.Errorf("way %s: a tree is played as it stands, without a revision, patch or edit", w.Name)
		}
		names = append(names, w.Name)
	}
	return nil
}

// Pair names what plays of several ways are compared by.
type Pair struct {
	Site, Day string // without folder and ending
	Seed      uint64
}

// String names the pair's files.
func (p Pair) String() string { return fmt.Sprintf("%s-%s-%d", p.Site, p.Day, p.Seed) }

// Play is one day under one way.
type Run struct {
	Pair
	Variant *Variant
	site    string // file
	day     string // name, or file
}

// plays returns all plays, those of one day and seed beside each other, so
// that what was stopped halfway has pairs.
func (p *Plan) plays() []Run {
	var out []Run
	for _, seed := range p.Seeds {
		for _, site := range p.Sites {
			for _, day := range p.Days {
				for i := range p.Variants {
					out = append(out, Run{Pair: Pair{base(site), base(day), seed}, Variant: &p.Variants[i], site: site, day: day})
				}
			}
		}
	}
	return out
}

// base is a file's name without its ending.
func base(path string) string {
	name := filepath.Base(path)
	return name[:len(name)-len(filepath.Ext(name))]
}
