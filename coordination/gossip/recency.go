package gossip

// recency is a doubly linked list of rows, the latest heartbeat first.
type recency struct{ first, last *row }

func (l *recency) pushFront(r *row) {
	r.newer, r.older = nil, l.first
	if l.first != nil {
		l.first.newer = r
	} else {
		l.last = r
	}
	l.first = r
}

func (l *recency) remove(r *row) {
	if r.newer != nil {
		r.newer.older = r.older
	} else {
		l.first = r.older
	}
	if r.older != nil {
		r.older.newer = r.newer
	} else {
		l.last = r.newer
	}
}

func (l *recency) moveToFront(r *row) {
	if l.first == r {
		return
	}
	l.remove(r)
	l.pushFront(r)
}
