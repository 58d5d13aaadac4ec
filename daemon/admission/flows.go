package admission

import (
	"container/heap"
	"hash/maphash"
	"strconv"
	"time"
)

const (
	// maxFlows bounds the workspaces of a class that are served in turn; more share a flow.
	maxFlows = 32
	// burst is the work by which a workspace may be ahead of its share, in work divided by
	// weight. Within it, requests go by their time.
	burst = 50 * time.Millisecond
	// maxScanned bounds the entries of a flow that are compared when one must be refused.
	maxScanned = 8
)

var flowSeed = maphash.MakeSeed()

// flows holds the waiting requests of one class by workspace and serves the workspaces in
// proportion to their weights (start-time fair queueing).
type flows struct {
	byName map[string]*line
	// lines lists the same lines; it is faster to scan.
	lines []*line
	// virtual is the start of the latest served request in virtual time: work divided by
	// weight.
	virtual float64
	entries int
	work    time.Duration
}

// line is the queue of one workspace, or of several if there are more than maxFlows, in order of
// the requests' times.
type line struct {
	name string
	list []*Entry
	// served is the virtual time up to which the workspace has been served.
	served float64
	weight float64
	// index is the line's place in the list of its flows.
	index int
}

// name returns the name of a workspace's line.
func (f *flows) name(workspace string) string {
	if f.byName[workspace] != nil || len(f.byName) < maxFlows {
		return workspace
	}
	return "#" + strconv.FormatUint(maphash.String(flowSeed, workspace)%maxFlows, 10)
}

// line returns the line with a name.
func (f *flows) line(name string) *line {
	l := f.byName[name]
	if l == nil {
		if f.byName == nil {
			f.byName = make(map[string]*line)
		}
		l = &line{name: name, served: f.virtual, index: len(f.lines)}
		f.byName[name] = l
		f.lines = append(f.lines, l)
	}
	return l
}

// drop removes a line without entries.
func (f *flows) drop(l *line) {
	last := len(f.lines) - 1
	f.lines[l.index] = f.lines[last]
	f.lines[l.index].index = l.index
	f.lines[last] = nil
	f.lines = f.lines[:last]
	delete(f.byName, l.name)
}

func (f *flows) push(e *Entry, weight float64) {
	l := f.line(f.name(e.Workspace))
	l.weight, e.weight = weight, weight
	e.line, e.lineName = l, l.name
	heap.Push(l, e)
	f.entries++
	f.work += e.Work
}

func (f *flows) remove(e *Entry) {
	l := e.line
	heap.Remove(l, e.lineIndex)
	e.line = nil
	f.entries--
	f.work -= e.Work
	// An idle workspace keeps its place only while it is ahead of its share.
	if len(l.list) == 0 && l.served <= f.virtual {
		f.drop(l)
	}
}

// first returns the first entry of the workspace that is furthest behind its share.
func (f *flows) first() *Entry {
	var best *line
	for _, l := range f.lines {
		if len(l.list) > 0 && (best == nil || l.before(best, f.virtual)) {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	return best.list[0]
}

// before orders lines by how many bursts they are ahead of their share, then by the time of
// their first entry.
func (l *line) before(o *line, virtual float64) bool {
	if a, b := l.ahead(virtual), o.ahead(virtual); a != b {
		return a < b
	}
	return entryBefore(l.list[0], o.list[0])
}

func (l *line) ahead(virtual float64) int {
	return int(max(l.served-virtual, 0) / burst.Seconds())
}

// spend charges a sent entry to the line that held it.
func (f *flows) spend(e *Entry) {
	l := f.line(e.lineName)
	l.weight = e.weight
	l.served = max(l.served, f.virtual) + e.Work.Seconds()/l.weight
	lowest := l.served
	for i := len(f.lines) - 1; i >= 0; i-- {
		switch other := f.lines[i]; {
		case len(other.list) > 0:
			lowest = min(lowest, max(other.served, f.virtual))
		case other.served <= f.virtual:
			f.drop(other)
		}
	}
	f.virtual = max(f.virtual, lowest)
}

// cheapest returns an entry of the workspace with the most waiting requests for its weight whose
// refusal costs little, or nil if none may be refused.
func (f *flows) cheapest(q *Queue) *Entry {
	var best *Entry
	var of *line
	for _, l := range f.lines {
		if of != nil && l.excess() <= of.excess() {
			continue
		}
		if e := l.cheapest(q); e != nil {
			best, of = e, l
		}
	}
	return best
}

// excess is the number of waiting requests of a workspace in proportion to its weight.
func (l *line) excess() float64 { return float64(len(l.list)) / l.weight }

// cheapest compares the last entries of the heap, which are among the later ones.
func (l *line) cheapest(q *Queue) *Entry {
	var best *Entry
	for i := len(l.list) - 1; i >= max(0, len(l.list)-maxScanned); i-- {
		if e := l.list[i]; q.refusable(e) && (best == nil || cheaper(e, best)) {
			best = e
		}
	}
	return best
}

// entryBefore orders the entries of a class that are all late or all on time. Those on time
// go by what a delay costs relative to the work: each may be delayed in proportion to its work,
// so that a long prompt does not make many short ones late. Late ones go by the time that is
// left to serve them, then by their work.
func entryBefore(a, b *Entry) bool {
	x, y := a.order, b.order
	if a.late {
		x, y = a.latestStart, b.latestStart
	}
	if !x.Equal(y) {
		return x.Before(y)
	}
	return a.Work < b.Work
}

// Len implements heap.Interface.
func (l *line) Len() int { return len(l.list) }

// Less implements heap.Interface.
func (l *line) Less(i, j int) bool { return entryBefore(l.list[i], l.list[j]) }

// Swap implements heap.Interface.
func (l *line) Swap(i, j int) {
	l.list[i], l.list[j] = l.list[j], l.list[i]
	l.list[i].lineIndex, l.list[j].lineIndex = i, j
}

// Push implements heap.Interface.
func (l *line) Push(x any) {
	e := x.(*Entry)
	e.lineIndex = len(l.list)
	l.list = append(l.list, e)
}

// Pop implements heap.Interface.
func (l *line) Pop() any {
	n := len(l.list) - 1
	e := l.list[n]
	l.list[n] = nil
	l.list = l.list[:n]
	e.lineIndex = -1
	return e
}

// dueHeap orders entries by the time of their next decision.
type dueHeap []*Entry

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex, h[j].dueIndex = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	e := x.(*Entry)
	e.dueIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	e.dueIndex = -1
	return e
}
