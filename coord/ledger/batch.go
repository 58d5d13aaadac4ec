package ledger

// lineState is the state of a line within a flush.
type lineState uint8

const (
	linePending lineState = iota
	lineStored
	lineDisputed
)

// batch holds the lines of all deliveries of one flush, merged by identity.
type batch struct {
	order []ID // in order of arrival
	lines map[ID]Line
	state map[ID]lineState
	// era is the store's era for which state holds.
	era uint64
	// restored holds the identities of the lines of an earlier era; nil if there are none.
	restored map[ID]struct{}
	// rewritten is the number of these lines that were stored again.
	rewritten int
}

func newBatch(deliveries []*delivery) *batch {
	b := &batch{lines: make(map[ID]Line), state: make(map[ID]lineState)}
	for _, d := range deliveries {
		for _, l := range d.lines {
			b.add(l)
		}
	}
	return b
}

func (b *batch) add(l Line) {
	id := l.ID()
	merged, ok := b.lines[id]
	if !ok {
		b.order = append(b.order, id)
		merged = l
	}
	b.lines[id] = Merge(merged, l)
}

// restart makes all lines pending in an era of the store, which may lack what was stored in an
// earlier one, and adds the lines that the collector has kept.
func (b *batch) restart(era uint64, kept []Line) {
	clear(b.state)
	b.era, b.restored, b.rewritten = era, make(map[ID]struct{}), 0
	for _, l := range kept {
		if _, delivered := b.lines[l.ID()]; !delivered {
			b.restored[l.ID()] = struct{}{}
		}
		b.add(l)
	}
}

// setState sets the state of the given lines.
func (b *batch) setState(lines []Line, state lineState) {
	for _, l := range lines {
		b.state[l.ID()] = state
	}
}

// countRewritten counts the lines of an earlier era among those that were stored.
func (b *batch) countRewritten(lines []Line) {
	for _, l := range lines {
		if _, ok := b.restored[l.ID()]; ok {
			b.rewritten++
		}
	}
}

// result returns the Result of a delivery of the given lines.
func (b *batch) result(lines []Line) Result {
	r := Result{Era: b.era}
	for _, l := range lines {
		switch b.state[l.ID()] {
		case lineStored:
			r.Stored = append(r.Stored, l.ID())
		case lineDisputed:
			r.Disputed = append(r.Disputed, l.ID())
		}
	}
	return r
}
