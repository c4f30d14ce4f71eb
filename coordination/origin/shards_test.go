package origin

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The collectors' writes stay under a twentieth of those that the store takes, whatever it takes.
func TestShardsFollowTheStoresWrites(t *testing.T) {
	is := is.New(t)
	const maxShare = 0.05
	for writes, shards := range map[float64]int{400: 4, 1200: 8, 3200: 32, 10: 1, 0: 1, 1e9: maxShards, math.Inf(1): maxShards} {
		is.Equal(Shards(writes), shards)
		if perSecond := float64(shards) / StoreInterval.Seconds(); shards > 1 {
			is.True(perSecond <= maxShare*writes)
		}
	}
	seen := make(map[Shard]bool)
	for k := range Key(1000) {
		seen[ShardOf(KeyOf("c", string(rune(k))), 8)] = true
	}
	is.Equal(len(seen), 8)
}

// All instances together use a fixed share of the store's reads, whatever their number.
func TestReadGapGrowsWithTheFleet(t *testing.T) {
	is := is.New(t)
	is.Equal(ReadGap(8, 2000), 16*time.Millisecond)
	for _, instances := range []int{100, 2000} {
		gap := ReadGap(instances, 16_000)
		is.True(float64(instances)/gap.Seconds() <= maxStoreReads*16_000*1.001)
	}
	is.True(ReadGap(8, 0) > 0)
}

// A verdict that nobody has given is no build, and an unknown one neither.
func TestUnknownIsNoBuild(t *testing.T) {
	is := is.New(t)
	for _, v := range []Verdict{{}, Unknown(Several), Unknown(Unread).WithPeers(6, 6)} {
		_, known := v.Record()
		is.True(!known)
	}
	r, known := KnownBy(StoredRecord, Record{1, "llm", "v1"}).Record()
	is.True(known)
	is.Equal(r.Build, "v1")
}

// Only the records of the streams that an instance served go to the store when a second build
// appears, those of one service and in their time.
func TestOwnRecords(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.PutOwn(0, Record{1, "llm", "v1"})
	table.Put(0, Record{1, "llm", "v1"}) // told by a peer as well
	table.Put(0, Record{2, "llm", "v1"})
	table.PutOwn(0, Record{3, "other", "v1"})
	is.Equal(table.Own(0, "llm"), []Record{{1, "llm", "v1"}})
	is.Equal(len(table.Own(RecordTTL, "llm")), 0)
	is.True(!table.PutOwn(0, Record{4, "llm", string(make([]byte, MaxNameLength+1))}))
}
