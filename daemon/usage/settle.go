package usage

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cactusknot.example/coord/duty"
)

const (
	// openWindows is the number of windows for which counts are kept while they can't be
	// settled, and the age up to which a record is sent. A report with the counts of 24
	// workspaces then has at most 12 KB.
	openWindows = 24
	// recordWindows is the number of windows after which a record is removed. It exceeds
	// openWindows, so that no window is settled a second time after its record was removed.
	recordWindows = 5 * openWindows
	// maxRemovals bounds the records that one transaction removes.
	maxRemovals = 16
	// clockSkew is the largest difference between the clocks of two routers. A window that
	// ends later than this after a router has heard of an era was not settled in an earlier
	// one.
	clockSkew = time.Second
	// takeoverGrace is the time that a new owner gives the routers to report before it
	// settles a window that has waited for long.
	takeoverGrace = 2 * time.Second
	// openWindowGrace is added to it for each window that is not settled: long reports come
	// less often.
	openWindowGrace = 250 * time.Millisecond
	// doubtWait is how long an owner waits, after it has entered an era or acquired the duty,
	// for the routers to say that a window was not settled in an earlier era; takeoverGrace
	// applies to such windows too.
	doubtWait = 6 * time.Second
	// commitTime is the longest time between a write to the store and its acknowledgement at
	// its author.
	commitTime = 2 * time.Second
	// listingTime is the time after the begin of an era in which the restored store may lack
	// the entries of routers.
	listingTime = 5 * time.Second
)

// Record is the settled count of a window, as the store keeps it. A record never changes.
type Record struct {
	Counts map[string]uint64 `json:"counts"`
	// Era is the era of the store in which the window was settled.
	Era uint64 `json:"era"`
	// CertainFrom is the first window that was certainly not settled in an earlier era.
	CertainFrom int64 `json:"certain_from"`
	// SentThrough is the last window up to which all records were sent before this one was
	// written.
	SentThrough int64 `json:"sent_through"`
}

// Settings configure a Ledger.
type Settings struct {
	Window Windows
	// Delay is the time after the end of a window at which its report is due.
	Delay time.Duration
	// Started is when this process started.
	Started time.Time
}

// Settlement is a window whose counts are to be written to the store, with records to be
// removed by the same transaction.
type Settlement struct {
	Window int64
	Record Record
	Remove []int64
	// Missing are the routers whose counts may be incomplete.
	Missing []string
}

// Ledger holds what one router knows of the settled windows. It is safe for concurrent use.
type Ledger struct {
	cfg Settings

	mu sync.Mutex
	// era is the era of the store; entered is set once it is known. certainFrom is the first
	// window that was certainly not settled in an earlier one.
	era         uint64
	entered     bool
	enteredAt   time.Time
	certainFrom int64
	// known holds the records of all eras. stored are those that the store has in this era.
	known  map[int64]Record
	stored map[int64]bool
	// mine are the windows that this router has settled.
	mine map[int64]bool
	// pending are records whose write has an unknown outcome, written under a token.
	pending map[int64]Record
	token   duty.Token
	ownedAt time.Time
	// sentThrough is the last window up to which all records were sent.
	sentThrough int64
	lastSent    int64
}

// NewLedger returns an empty Ledger.
func NewLedger(cfg Settings) *Ledger {
	return &Ledger{cfg: cfg, known: make(map[int64]Record), stored: make(map[int64]bool), mine: make(map[int64]bool), pending: make(map[int64]Record)}
}

// EnterEra records that the store is in an era. What an earlier era held may be gone, and what
// was settled in it may be unknown.
func (l *Ledger) EnterEra(now time.Time, era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entered && era <= l.era {
		return
	}
	l.era, l.entered, l.enteredAt = era, true, now
	l.certainFrom = l.cfg.Window.At(now.Add(clockSkew))
	clear(l.stored)
	clear(l.pending)
}

// Observe takes over a record that the store holds in an era, or its removal if record is nil.
func (l *Ledger) Observe(now time.Time, window int64, record *Record, era uint64) {
	l.EnterEra(now, era)
	l.mu.Lock()
	defer l.mu.Unlock()
	if era != l.era {
		return
	}
	if record == nil {
		delete(l.stored, window)
		return
	}
	l.learn(window, *record)
	if record.Era == era {
		l.certainFrom = min(l.certainFrom, record.CertainFrom)
	}
	l.prune(now)
}

// learn records that the store holds a record. The first one known for a window stays.
func (l *Ledger) learn(window int64, record Record) {
	if _, ok := l.known[window]; !ok {
		l.known[window] = record
	}
	l.stored[window] = true
	delete(l.pending, window)
	l.sentThrough = max(l.sentThrough, record.SentThrough)
}

func (l *Ledger) prune(now time.Time) {
	oldest := l.cfg.Window.At(now) - 2*recordWindows
	maps.DeleteFunc(l.known, func(w int64, _ Record) bool { return w < oldest })
	maps.DeleteFunc(l.stored, func(w int64, _ bool) bool { return w < oldest })
	maps.DeleteFunc(l.mine, func(w int64, _ bool) bool { return w < oldest })
}

// Open reports whether the counts of a window are still needed.
func (l *Ledger) Open(now time.Time, window int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open(now, window)
}

// inRange reports whether a window is recent enough for its counts to be kept.
func (l *Ledger) inRange(now time.Time, window int64) bool {
	return window > l.cfg.Window.At(now)-openWindows
}

// OpenCounts returns what a counter of this process holds for the windows whose counts are needed,
// including those that have ended without a request. The counter forgets the others.
func (l *Ledger) OpenCounts(now time.Time, counter *Counter) map[int64]Counts {
	open := func(window int64) bool { return l.Open(now, window) }
	counts := counter.Counts(open)
	for window := l.cfg.Window.At(now) - 1; window >= l.cfg.Window.At(l.cfg.Started) && l.inRange(now, window); window-- {
		if counts[window] == nil && open(window) {
			counts[window] = Counts{}
		}
	}
	return counts
}

// OpenTime returns the time for which counts are kept.
func OpenTime(w Windows) time.Duration { return openWindows * time.Duration(w) }

func (l *Ledger) open(now time.Time, window int64) bool {
	if !l.inRange(now, window) {
		return false
	}
	_, known := l.known[window]
	return !known
}

// Own records under which token this router owns the duty, 0 if it does not. Writes under
// another token no longer take effect.
func (l *Ledger) Own(now time.Time, token duty.Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if token == l.token {
		return
	}
	l.token, l.ownedAt = token, now
	clear(l.pending)
}

// Settle returns the oldest window that the owner can settle now, with the counts of the
// table. routers are the names of the registered routers, recent also those that were
// registered in the time of the open windows. A window that an owner may have settled in an
// earlier era is settled only if all of recent say that they don't know it as settled: whoever
// has settled it is among them.
func (l *Ledger) Settle(now time.Time, table *Table, routers, recent []string) (s Settlement, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == 0 || l.token.Position().Era != l.era {
		return Settlement{}, false
	}
	if now.Before(l.enteredAt.Add(listingTime)) {
		routers = recent
	}
	current := l.cfg.Window.At(now)
	unsettled := l.unsettled(now)
	for _, w := range unsettled {
		if record, tried := l.pending[w]; tried {
			return Settlement{Window: w, Record: record, Remove: l.removable(current)}, true
		}
		end := l.cfg.Window.End(w)
		if w < l.certainFrom {
			vouched, never := table.Vouched(recent, w, end, l.enteredAt.Add(clockSkew+commitTime))
			if !vouched && !never && end.After(l.cfg.Started) && (now.Before(l.enteredAt.Add(doubtWait)) || now.Before(l.ownedAt.Add(takeoverGrace))) {
				return Settlement{}, false
			}
			if !vouched {
				continue
			}
		}
		missing := table.Missing(routers, end)
		grace := l.ownedAt.Add(takeoverGrace + time.Duration(len(unsettled))*openWindowGrace)
		if len(missing) > 0 && (now.Before(end.Add(l.cfg.Delay/2)) || now.Before(grace)) {
			return Settlement{}, false
		}
		record := Record{Counts: table.Sum(w), Era: l.era, CertainFrom: l.certainFrom, SentThrough: l.sentThrough}
		l.pending[w] = record
		return Settlement{Window: w, Record: record, Remove: l.removable(current), Missing: missing}, true
	}
	return Settlement{}, false
}

// unsettled returns the open windows that have ended, after the last one that is known as
// settled: windows are settled in order, so that the earlier ones have been passed over.
func (l *Ledger) unsettled(now time.Time) []int64 {
	current := l.cfg.Window.At(now)
	first := current - openWindows + 1
	for w := range l.known {
		first = max(first, min(w+1, current))
	}
	var list []int64
	for w := first; w < current; w++ {
		list = append(list, w)
	}
	return list
}

// removable returns stored records that are old enough to be removed.
func (l *Ledger) removable(current int64) []int64 {
	var list []int64
	for w := range l.stored {
		if w < current-recordWindows {
			list = append(list, w)
		}
	}
	slices.Sort(list)
	return list[:min(len(list), maxRemovals)]
}

// Settled records that the store has acknowledged a settlement under a token.
func (l *Ledger) Settled(token duty.Token, s Settlement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if token.Position().Era != l.era {
		return
	}
	l.learn(s.Window, s.Record)
	l.mine[s.Window] = true
	for _, w := range s.Remove {
		delete(l.stored, w)
	}
}

// Lost returns the oldest record that the store lacks, because it was restored from an older
// copy, and that this router writes again: as the owner each one that it knows, otherwise those
// that it has settled itself, which the owner may not know.
func (l *Ledger) Lost(now time.Time) (window int64, record Record, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.cfg.Window.At(now)
	for w := current - openWindows + 1; w <= current; w++ {
		if record, known := l.known[w]; known && !l.stored[w] && (l.token != 0 || l.mine[w]) {
			return w, record, true
		}
	}
	return 0, Record{}, false
}

// Restored records that the store holds a known record again in an era.
func (l *Ledger) Restored(window int64, era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era == l.era {
		l.stored[window] = true
	}
}

// Unsent returns the oldest record that is to be sent.
func (l *Ledger) Unsent(now time.Time) (window int64, record Record, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.cfg.Window.At(now)
	for w := max(l.sentThrough+1, current-openWindows+1); w <= current; w++ {
		if record, known := l.known[w]; known && l.stored[w] {
			return w, record, true
		}
	}
	return 0, Record{}, false
}

// Sent records that a record was accepted.
func (l *Ledger) Sent(window int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentThrough, l.lastSent = max(l.sentThrough, window), window
}

// State is the state of the ledger for operators.
type State struct {
	// LastSettled and LastSent are the latest windows that are known as settled, and that
	// this router has sent; 0 for none.
	LastSettled, LastSent int64
	// Unsettled is the number of windows that have ended and are not settled.
	Unsettled int
}

// State returns the state.
func (l *Ledger) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := State{LastSent: l.lastSent}
	for w := range l.known {
		s.LastSettled = max(s.LastSettled, w)
	}
	s.Unsettled = len(l.unsettled(now))
	return s
}
