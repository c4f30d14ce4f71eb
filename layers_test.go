// Package quinceroad holds the tests of the tree as a whole.
package quinceroad

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// layers in the order of imports: a package may import its own layer and those after it.
var layers = []string{"proctest", "cmd", "platform", "transport", "protocol", "coordination", "state"}

func TestImportsGoDownwards(t *testing.T) {
	is := is.New(t)
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || !strings.Contains(path, "/") {
			return err
		}
		if strings.HasPrefix(path, "platform/") && strings.HasSuffix(path, "_test.go") {
			return nil // tests of the whole system before stand-ins of the platform
		}
		files++
		from := slices.Index(layers, strings.Split(path, "/")[0])
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			name, _ := strconv.Unquote(i.Path.Value)
			rest, ours := strings.CutPrefix(name, "quinceroad/")
			if to := slices.Index(layers, strings.Split(rest, "/")[0]); ours && (from < 0 || to < from) {
				t.Errorf("%s imports %s, which is above it", path, name)
			}
		}
		return nil
	})
	is.NoErr(err)
	is.True(files > 50) // the walk saw the tree
}

// Decisions are pure: no I/O, no goroutines, no clock, no random source of their own.
func TestDecisionsArePure(t *testing.T) {
	banned := []string{"net", "net/http", "os", "io", "context", "sync/atomic", "log"}
	err := filepath.WalkDir("coordination", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			if name, _ := strconv.Unquote(i.Path.Value); slices.Contains(banned, name) {
				t.Errorf("%s imports %s", path, name)
			}
		}
		return nil
	})
	is.New(t).NoErr(err)
}

// What must count time asleep goes by the process's clock: the plain one stands
// still while the machine is suspended (docs/ARCHITECTURE.md, Time).
func TestThePlainClockIsNotAskedForAges(t *testing.T) {
	plain := regexp.MustCompile(`time\.(Now|Since|Until)\(`)
	allowed := regexp.MustCompile(strings.Join([]string{
		`Set(Read|Write)?Deadline\(time\.Now\(\)\.Add\(`,      // of a connection: the runtime's own timers
		`Incarnation: +process\.Incarnation\(time\.Now\(\)\)`, // a name of the start
		`within = min\(within, time\.Until\(deadline\)\)`,     // of a dial, which a suspension breaks anyway
		`n\.links\.Sweep\(time\.Now\(\)\)`,                    // sessions that rest too long cost memory alone
	}, "|"))
	files := 0
	for _, dir := range []string{"cmd/node", "coordination", "state", "platform", "transport/upstream"} {
		err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || path == "transport/upstream/call.go" { // that one is the first form's
				return err
			}
			files++
			data, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for n, line := range strings.Split(string(data), "\n") {
				if plain.MatchString(line) && !allowed.MatchString(line) {
					t.Errorf("%s:%d: %s", path, n+1, strings.TrimSpace(line))
				}
			}
			return nil
		})
		is.New(t).NoErr(err)
	}
	is.New(t).True(files > 100)
}
