package origin

import (
	"math/bits"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Records that have to outlive all instances are written to the platform's store in shards.
// One instance collects the records of a shard, so that neither the writes nor what a reader
// has to read for one stream grow with the fleet.
const (
	// writesPerShard is how many writes a second the store must take for each shard. A shard
	// is written at most four times a second, which is less than a twentieth of them.
	writesPerShard = 100
	maxShards      = 256
	// StoreInterval is the time between two writes of an instance's shards.
	StoreInterval = 250 * time.Millisecond
	// maxStoreReads is the fraction of the store's reads that the instances may use together
	// when all of them search for records at the same time.
	maxStoreReads = 0.25
)

// Shard is the number of a shard.
type Shard uint32

// Shards returns the number of shards for a store that takes so many writes a second: a power
// of two.
func Shards(writesPerSecond float64) int {
	n := uint(max(1, min(writesPerSecond/writesPerShard, maxShards)))
	return 1 << (bits.Len(n) - 1)
}

// ShardOf returns the shard of a stream.
func ShardOf(k Key, shards int) Shard { return Shard(uint64(k) % uint64(shards)) }

// HolderKey returns the key whose holders collect the records of a shard and search for them.
func (s Shard) HolderKey() Key {
	return Key(xxhash.Sum64String("shard/" + strconv.FormatUint(uint64(s), 10)))
}

// ReadGap returns the shortest time between two reads of the store by one of so many
// instances.
func ReadGap(instances int, readsPerSecond float64) time.Duration {
	return time.Duration(float64(instances) / (maxStoreReads * max(readsPerSecond, 1)) * float64(time.Second))
}
