package origin

import (
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream: its customer and the ID of the client's request that brought its
// first event. A request of another customer with the same ID has another key.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(customer, requestID string) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(customer)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(requestID)
	return Key(d.Sum64())
}

// Record states which build of which service began a stream.
type Record struct {
	Key     Key
	Service string
	Build   string
}

// IsValid reports whether the names of a record are within their bounds.
func (r *Record) IsValid() bool {
	return len(r.Service) <= MaxNameLength && len(r.Build) <= MaxNameLength
}

const (
	// RecordTTL is how long a record is kept: longer than a stream runs and its client waits
	// before it takes the stream up again.
	RecordTTL = 2 * time.Minute
	// MaxRecords bounds the memory of a Table to about a megabyte. The oldest records are
	// dropped first.
	MaxRecords = 16_384
	// MaxNameLength is the maximum length of a service's or build's name in bytes.
	MaxNameLength = 256
)

// Table keeps the records of streams. It is not safe for concurrent use.
type Table struct {
	records map[Key]entry
	order   []expiry // in the order in which the records were put
}

type entry struct {
	service, build unique.Handle[string]
	until          time.Duration
	ambiguous      bool // several builds began streams with this key
	own            bool // this instance served the stream
}

type expiry struct {
	key   Key
	until time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Key]entry)} }

// PutOwn adds the record of a stream that this instance serves.
func (t *Table) PutOwn(now time.Duration, r Record) bool {
	if !t.Put(now, r) {
		return false
	}
	e := t.records[r.Key]
	e.own = true
	t.records[r.Key] = e
	return true
}

// Put adds a record, or keeps one that is there for another RecordTTL. It returns false for
// a record whose names are too long.
func (t *Table) Put(now time.Duration, r Record) bool {
	if !r.IsValid() {
		return false
	}
	e := entry{service: unique.Make(r.Service), build: unique.Make(r.Build), until: now + RecordTTL}
	if old, ok := t.records[r.Key]; ok && now < old.until {
		e.ambiguous = old.ambiguous || old.service != e.service || old.build != e.build
		e.own = old.own
	}
	t.records[r.Key] = e
	t.order = append(t.order, expiry{r.Key, e.until})
	t.Expire(now)
	return true
}

// Get returns the record of a stream, or false if there is none or clients have used the ID
// for streams of several builds.
func (t *Table) Get(now time.Duration, k Key) (Record, bool) {
	e, ok := t.records[k]
	if !ok || e.ambiguous || now >= e.until {
		return Record{}, false
	}
	return Record{Key: k, Service: e.service.Value(), Build: e.build.Value()}, true
}

// Own returns the records of the streams of a service that this instance served.
func (t *Table) Own(now time.Duration, service string) []Record {
	wanted := unique.Make(service)
	var out []Record
	for k, e := range t.records {
		if e.own && e.service == wanted && now < e.until {
			out = append(out, Record{Key: k, Service: service, Build: e.build.Value()})
		}
	}
	return out
}

// Expire drops the records whose time is over, and the oldest beyond MaxRecords.
func (t *Table) Expire(now time.Duration) {
	for len(t.order) > 0 && (len(t.order) > MaxRecords || now >= t.order[0].until) {
		first := t.order[0]
		t.order = t.order[1:]
		if t.records[first.key].until == first.until { // not put again since
			delete(t.records, first.key)
		}
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }
