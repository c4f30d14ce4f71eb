// Package quinceroad holds tests of the source tree as a whole.
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

// layers lists the layers from top to bottom: a package may import packages of its
// own layer and of those after it.
var layers = []string{"deploy", "proctest", "cmd", "platform", "transport", "protocol", "coordination", "state"}

// testHarness is the package with the stand-ins of the tests of the whole system.
const testHarness = "platform/platformtest"

func TestImportsFollowLayers(t *testing.T) {
	is := is.New(t)
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || !strings.Contains(path, "/") {
			return err
		}
		if strings.HasPrefix(path, "platform/") && strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, testHarness+"/") {
			return nil // tests of the whole system import packages of higher layers
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
			if rest == testHarness {
				t.Errorf("%s imports %s, which is for tests only", path, name)
			}
			if to := slices.Index(layers, strings.Split(rest, "/")[0]); ours && (from < 0 || to < from) {
				t.Errorf("%s imports %s, which belongs to a higher layer", path, name)
			}
		}
		return nil
	})
	is.NoErr(err)
	is.True(files > 50) // the walk has visited the tree
}

// Decisions in coordination are pure: no I/O, no goroutines, no clock and no random
// source of their own. The test checks the imports.
func TestCoordinationIsPure(t *testing.T) {
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

// Ages and timeouts that must include the time during which the machine is
// suspended use the clock of the process: the clock behind time.Now does not
// advance during a suspension (docs/ARCHITECTURE.md, Time).
func TestAgesUseTheProcessClock(t *testing.T) {
	plain := regexp.MustCompile(`time\.(Now|Since|Until)\(`)
	allowed := regexp.MustCompile(strings.Join([]string{
		`Set(Read|Write)?Deadline\(time\.Now\(\)\.Add\(`,      // deadline of a connection: handled by the runtime's timers
		`Incarnation: +process\.Incarnation\(time\.Now\(\)\)`, // identifies the start of the process
		`within = min\(within, time\.Until\(deadline\)\)`,     // timeout of a dial, which a suspension breaks anyway
		`n\.links\.Sweep\(time\.Now\(\)\)`,                    // sessions that stay idle for too long cost only memory
	}, "|"))
	files := 0
	for _, dir := range []string{"cmd/node", "coordination", "state", "platform", "transport/upstream"} {
		err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			// call.go belongs to the deployment with entry and coord processes.
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, testHarness+"/") || path == "transport/upstream/call.go" {
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

// The parsers of libraries repair broken heads of answers. Whatever reads answers has their heads judged
// before, in transport/upstream or on the connections of transport/web (docs/design/ends.md).
func TestHeadsOfAnswersAreJudged(t *testing.T) {
	reads := regexp.MustCompile(`fasthttp\.(Host|Pipeline)?Client\{|fasthttp\.(Do|Get|Post)\w*\(|http\.(Get|Post|Head|PostForm|ReadResponse)\(|http\.(Client|Transport)\{|http\.Default(Client|Transport)|\b\w*[hH](eader)?\.Read\(`)
	allowed := map[string]string{
		"transport/upstream/exchange.go":   "return head, h.Read(cn.r)",
		"transport/web/client.go":          "return &fasthttp.Client{",
		"platform/store.go":                "return &Store{client: &fasthttp.HostClient{",
		"cmd/load/load.go":                 `resp, err := http.Get("http://" + control + "/journal")`, // of a stand-in
		"cmd/standin/upstream/upstream.go": `resp, err := http.Post("http://"+s.config.Platform+"/register", "application/json", bytes.NewReader(b))`,
	}
	seen := make(map[string]bool)
	for _, dir := range layers[2:] {
		err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, testHarness+"/") {
				return err
			}
			data, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for n, line := range strings.Split(string(data), "\n") {
				if !reads.MatchString(line) {
					continue
				}
				seen[path] = true
				if strings.TrimSpace(line) != allowed[path] {
					t.Errorf("%s:%d: %s", path, n+1, strings.TrimSpace(line))
				}
			}
			return nil
		})
		is.New(t).NoErr(err)
	}
	is.New(t).Equal(len(seen), len(allowed))
	for path, door := range map[string]string{"transport/web/client.go": "Dial,", "platform/store.go": "web.Dial,"} {
		data, err := os.ReadFile(path)
		is.New(t).NoErr(err)
		is.New(t).True(regexp.MustCompile(`DialTimeout: +` + regexp.QuoteMeta(door)).Match(data))
	}
}
