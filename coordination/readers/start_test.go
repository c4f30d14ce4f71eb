package readers

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWhoStartsLeavesTheFirstReadToOthersForAWhile(t *testing.T) {
	is := is.New(t)
	ms := time.Millisecond
	is.True(!Start{Age: 50 * ms, Chosen: true}.Reads()) // who else starts is not known yet
	is.True(Start{Age: 70 * ms, Met: true, Chosen: true}.Reads())
	is.True(!Start{Age: 70 * ms, Met: true}.Reads())
	is.True(!Start{Age: peersFor - ms, Met: true}.Reads())
	is.True(Start{Age: peersFor, Met: true}.Reads())
	is.True(!Start{Age: peersFor + 500*ms, Met: true, Spread: 0.9}.Reads()) // not all at the same moment
	is.True(Start{Age: peersFor + spreadOver, Spread: 1}.Reads())           // but nobody waits for good
}
