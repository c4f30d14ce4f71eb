package ledger

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkNumber measures one numbered request from Begin to Finish in a ledger with
// many records.
func BenchmarkNumber(b *testing.B) {
	for _, held := range []int{100, 10_000, 100_000} {
		b.Run("records="+strconv.Itoa(held), func(b *testing.B) {
			l := New(1, WithMaxRecords(1<<30))
			for i := range held {
				l.Begin(number(1, -1-i, 0), 0)
			}
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				_, r := l.Begin(number(1, n, 0), time.Second)
				l.Finish(r, Answer{})
				delete(l.records, strconv.Itoa(1)+"/"+strconv.Itoa(n))
			}
		})
	}
}
