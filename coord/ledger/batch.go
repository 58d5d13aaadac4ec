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

// setState sets the state of the given lines.
func (b *batch) setState(lines []Line, state lineState) {
	for _, l := range lines {
		b.state[l.ID()] = state
	}
}

// result returns the Result of a delivery of the given lines.
func (b *batch) result(lines []Line) Result {
	var r Result
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
