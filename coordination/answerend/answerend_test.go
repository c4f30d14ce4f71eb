package answerend

import (
	"testing"

	"github.com/matryer/is"
)

// MIXED: an unframed answer is whole only if its replica was found running after it. A row for
// each end.
func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		end  End
		want Verdict
	}{
		"framed, not asked":               {End{Framed: true}, Whole},
		"framed, the replica ends":        {End{Framed: true, Life: Ended}, Whole},
		"unframed, it runs":               {End{Life: Runs}, Whole},
		"unframed, it has ended":          {End{Life: Ended}, Broken},
		"unframed, nobody knows":          {End{}, Doubtful},
		"unframed, leaving, runs":         {End{Life: Runs, Leaving: true}, Whole},
		"unframed, leaving, ended":        {End{Life: Ended, Leaving: true}, Doubtful},
		"unframed, leaving, nobody knows": {End{Leaving: true}, Doubtful},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.end.Verdict(), c.want) })
	}
}
