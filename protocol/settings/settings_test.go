package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const malformedFleet = `name = "x"
region = "r"
halls = ["h"]
attainment_weight = 1.5
address_lifetime_seconds = 3
policy = "permit"
shed = 2.0
polcy = "x"

[[service]]
name = "enc"
kind = "pool"
slots = "four"
`

const invalidFleet = `name = "x"
region = "r"
halls = ["h"]
attainment_weight = 1.5
address_lifetime_seconds = 3
policy = "permit"
shed = 2.0

[[service]]
name = "enc"
kind = "pool"
slots = 4

[[service]]
name = "enc"
kind = "pool"
slots = 0

[[pipeline]]
name = "p"
deadline_ms = 10
priority = "normal"
repeatable = true

[[pipeline.stage]]
name = "a"
service = "encc"
operation = "encode"
expect_ms = 1
once = true
`

// All findings in a file are reported together, each with its line.
func TestAllFindingsAreReported(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"shape", malformedFleet, []string{
			`f.toml:8: polcy: unknown key; did you mean "policy"?`,
			`f.toml:13: service[0].slots: expected int, got a string`,
		}},
		{"meaning", invalidFleet, []string{
			`f.toml:4: attainment_weight: must be between 0 and 1, got 1.5`,
			`f.toml:6: policy: unknown value "permit"; did you mean "permits"?`,
			`f.toml:15: service[1].name: "enc" is already declared at line 10`,
			`f.toml:17: service[1].slots: must be between 1 and 4096, got 0`,
			`f.toml:23: pipeline[0].repeatable: is true, but it has a stage with once = true: true`,
			`f.toml:27: pipeline[0].stage[0].service: "encc" is not declared; did you mean "enc"?`,
		}},
		{"syntax", "name = \n", []string{"f.toml:1: : toml: incomplete number"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := LoadFleet("f.toml", []byte(c.text))
			var found Findings
			is.True(errors.As(err, &found))
			if c.name == "syntax" {
				is.Equal(found[0].Line, 1)
				return
			}
			is.Equal(strings.Split(found.Error(), "\n"), c.want)
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	fleets, err := filepath.Glob("../../examples/*/fleet.toml")
	is.NoErr(err)
	is.Equal(len(fleets), 2)
	for _, f := range fleets {
		text, err := os.ReadFile(f)
		is.NoErr(err)
		_, err = LoadFleet(f, text)
		is.NoErr(err)
	}
	instances, err := filepath.Glob("../../examples/*/instances/*.toml")
	is.NoErr(err)
	is.Equal(len(instances), 14)
	for _, f := range instances {
		text, err := os.ReadFile(f)
		is.NoErr(err)
		_, err = LoadInstance(f, text)
		is.NoErr(err)
	}
}

// BenchmarkLoadFleet loads declarations with growing numbers of customers: the
// time must grow linearly with the length of the text, not quadratically.
func BenchmarkLoadFleet(b *testing.B) {
	text, err := os.ReadFile("../../examples/kalahari/fleet.toml")
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range []int{5, 540, 5400} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			big := strings.Builder{}
			big.Write(text)
			for i := 5; i < n; i++ {
				fmt.Fprintf(&big, "\n[[customer]]\nname = \"c%d\"\nkey_sha256 = \"%064d\"\nweight = 1\npriority = \"normal\"\nrate = 1.0\nburst = 1.0\n", i, i)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := LoadFleet("f", []byte(big.String())); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func FuzzLoadFleet(f *testing.F) {
	f.Add([]byte(malformedFleet))
	f.Add([]byte(invalidFleet))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := LoadFleet("f", text)
		var found Findings
		if err != nil && !errors.As(err, &found) {
			t.Fatalf("error is not of type Findings: %v", err)
		}
	})
}
