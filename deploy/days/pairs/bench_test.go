package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"quinceroad/deploy/days/pairs/cover"
)

func writeSite(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "site.toml")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o644))
	return path
}

// Bad input: what can't be used is a clear error.
func TestSiteFilesThatCannotBeUsed(t *testing.T) {
	is := is.New(t)
	for name, text := range map[string]string{
		"no troubles": "name = \"a\"\n",
		"no kind":     "troubles = [{ share = 0.5 }]\n",
		"broken":      "troubles = [",
	} {
		_, err := readSite(writeSite(t, text))
		if err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	_, err := readSite(filepath.Join(t.TempDir(), "none"))
	is.True(err != nil)
}

// Variants that the site lists are not doubled; others have the site's doses. A day that was
// written reads as it was, planned work apart.
func TestDaysHoldTheSitesTroubles(t *testing.T) {
	is := is.New(t)
	s, err := readSite(writeSite(t, `troubles = [{ kind = "garble", how = "early", share = 0.5 }, { kind = "stops", gap_s = 1.0 }]
[[day]]
plan = [{ kind = "stops", at = 1 }]
`))
	is.NoErr(err)
	troubles := withVariants(s.Troubles, map[string][]string{"garble": {"early", "late"}, "unknown": {"x"}})
	is.Equal(len(troubles), 3)
	is.Equal(troubles[2], cover.Trouble{"kind": "garble", "how": "late", "share": 0.5})
	day := cover.Plan(troubles, 1)[0]
	path := filepath.Join(t.TempDir(), "day.toml")
	is.NoErr(writeDay(path, &day, day.Entries, s.plannedKinds()))
	data, err := os.ReadFile(path)
	is.NoErr(err)
	text := string(data)
	is.Equal(strings.Count(text, "garble"), 4)
	is.Equal(strings.Count(text, "stops"), 2)
	is.True(strings.Contains(text, "plan") && strings.Contains(text, "faults"))
}
