package ledger

// lineState says how far a flush got with a line.
type lineState uint8

const (
	lineOpen lineState = iota
	lineStored
	lineDisputed
)

// batch holds the merged lines of the deliveries of one flush.
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
	held, ok := b.lines[id]
	if !ok {
		b.order = append(b.order, id)
		held = l
	}
	b.lines[id] = Merge(held, l)
}

func (b *batch) settle(lines []Line, state lineState) {
	for _, l := range lines {
		b.state[l.ID()] = state
	}
}

// result returns what became of lines.
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
