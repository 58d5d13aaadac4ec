package httplimit

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// initialIntake is the size in bytes up to which the announced length of a message is trusted.
	initialIntake = 32 << 10
	// evictionAge is how long a message has to arrive before it can be given up in favour of
	// another one. Ordinary messages have arrived by then.
	evictionAge = 500 * time.Millisecond
	// endWait is how long the memory of messages that were given up is awaited. Their readers are
	// interrupted and need a moment of processor time.
	endWait = time.Second
)

// ErrEvicted means that a message was given up because it arrived more slowly than others while there
// was no room. Callers test it with errors.Is.
var ErrEvicted = errors.New("httplimit: message arrives too slowly while there is no room")

// Intake bounds the memory that messages of clients take, from their first byte until they are
// handled. A message takes memory as its bytes arrive, whatever length it announces. If there is no
// room, the message that arrives most slowly is given up, so that clients that hold back the end of
// what they send do not take what others need. It is safe for concurrent use.
type Intake struct {
	// Max is the bound in bytes. A message that is alone may exceed it.
	Max int64

	mu   sync.Mutex
	used int64
	// leaving is the part of used that messages hold that were given up and have not ended.
	leaving int64
	// changed is closed and replaced when a message is given up, or one that was given up ends.
	changed chan struct{}
	// arriving are the messages that are not whole yet.
	arriving map[*Message]struct{}
	stats    IntakeStats
}

// IntakeStats counts what happened at an Intake.
type IntakeStats struct {
	// Used is the memory taken now in bytes.
	Used int64
	// Evicted counts the messages that were given up, Refused those for which there was no room.
	Evicted, Refused uint64
}

// Stats returns the present counts.
func (i *Intake) Stats() IntakeStats {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.stats
	s.Used = i.used
	return s
}

// Message is a message that arrives or is handled. Its methods other than End may only be called by
// one goroutine at a time.
type Message struct {
	intake  *Intake
	begunAt time.Time
	// interrupt ends the read of the message, from another goroutine.
	interrupt func()

	// These are guarded by the mutex of the intake.
	held, received int64
	evicted, ended bool
}

// Begin adds a message that begins to arrive. interrupt is called at most once, by another
// goroutine, if the message is given up; it must not block and must end a read in progress. The
// caller calls End when the message has been handled.
func (i *Intake) Begin(now time.Time, interrupt func()) *Message {
	m := &Message{intake: i, begunAt: now, interrupt: interrupt}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.arriving == nil {
		i.arriving = make(map[*Message]struct{})
	}
	i.arriving[m] = struct{}{}
	return m
}

// End gives back the memory of the message, which takes no more. Further calls do nothing.
func (m *Message) End() {
	i := m.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.arriving, m)
	i.used -= m.held
	if m.evicted {
		i.leaving -= m.held
		i.notify()
	}
	m.held, m.ended = 0, true
}

// Take takes memory for bytes of the message. It waits for up to endWait until messages that were
// given up have ended, since their memory is in use until then. It returns ErrNoRoom or ErrEvicted if
// there is no room.
func (m *Message) Take(now time.Time, bytes int64) error {
	i := m.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	timeout := time.NewTimer(endWait)
	defer timeout.Stop()
	for !m.over() && i.used+bytes > i.Max && i.used > m.held {
		if staying := i.used - i.leaving; staying+bytes <= i.Max || staying == m.held {
			if !i.await(timeout.C) {
				i.stats.Refused++
				return ErrNoRoom
			}
			continue
		}
		slowest := i.slowest(now)
		if slowest == nil {
			i.stats.Refused++
			return ErrNoRoom
		}
		i.evict(slowest)
	}
	if m.over() {
		return ErrEvicted
	}
	m.held += bytes
	i.used += bytes
	return nil
}

// over reports whether the message gets no more memory.
func (m *Message) over() bool { return m.evicted || m.ended }

// await waits for a change and returns false if the timeout comes first. The mutex is held, but not
// while it waits.
func (i *Intake) await(timeout <-chan time.Time) bool {
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	changed := i.changed
	i.mu.Unlock()
	defer i.mu.Lock()
	select {
	case <-changed:
		return true
	case <-timeout:
		return false
	}
}

// notify wakes all that wait for a change.
func (i *Intake) notify() {
	if i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
}

// release gives back a part of the memory.
func (m *Message) release(bytes int64) {
	m.intake.mu.Lock()
	defer m.intake.mu.Unlock()
	if m.ended {
		return
	}
	m.held -= bytes
	m.intake.used -= bytes
	if m.evicted {
		m.intake.leaving -= bytes
	}
}

// Received records that bytes of the message have arrived.
func (m *Message) Received(bytes int) {
	m.intake.mu.Lock()
	defer m.intake.mu.Unlock()
	m.received += int64(bytes)
}

// slowest returns the message that arrives at the lowest rate, or nil if none has been arriving for
// long enough.
func (i *Intake) slowest(now time.Time) *Message {
	var slowest *Message
	lowest := 0.0
	for m := range i.arriving {
		age := now.Sub(m.begunAt)
		if age < evictionAge || m.held == 0 {
			continue
		}
		if rate := float64(m.received) / age.Seconds(); slowest == nil || rate < lowest {
			slowest, lowest = m, rate
		}
	}
	return slowest
}

// evict gives up a message. Its reader holds the memory until it ends the message.
func (i *Intake) evict(m *Message) {
	delete(i.arriving, m)
	i.leaving += m.held
	i.stats.Evicted++
	m.evicted = true
	m.interrupt()
	i.notify()
}

// ReadAll reads the message to its end, expecting size bytes; a negative size is unknown. It reads at
// most maxBytes+1 bytes. It returns what it has read also on an error, which is that of the
// reader, ErrNoRoom or ErrEvicted.
func (m *Message) ReadAll(r io.Reader, size, maxBytes int64) ([]byte, error) {
	var body []byte
	r = io.LimitReader(r, maxBytes+1)
	// The buffer has room for one more read, even if that only returns io.EOF.
	capacity := min(max(size, 0)+bytes.MinRead, initialIntake)
	for {
		if len(body) == cap(body) {
			larger, err := m.grow(body, capacity)
			if err != nil {
				return body, err
			}
			body, capacity = larger, min(2*capacity, maxBytes+bytes.MinRead)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		m.Received(n)
		if errors.Is(err, io.EOF) {
			return body, m.whole()
		}
		if err != nil {
			return body, m.failure(err)
		}
	}
}

// grow returns a copy of a buffer with a larger capacity, for which it takes memory.
func (m *Message) grow(buffer []byte, capacity int64) ([]byte, error) {
	if err := m.Take(time.Now(), capacity); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, capacity), buffer...)
	m.release(int64(cap(buffer)))
	return larger, nil
}

// whole records that the message has arrived, so that it is not given up any more.
func (m *Message) whole() error {
	m.intake.mu.Lock()
	defer m.intake.mu.Unlock()
	delete(m.intake.arriving, m)
	if m.evicted {
		return ErrEvicted
	}
	return nil
}

// failure returns the error of a read, which may be that the message was given up.
func (m *Message) failure(err error) error {
	m.intake.mu.Lock()
	defer m.intake.mu.Unlock()
	if m.evicted {
		return errors.Join(ErrEvicted, err)
	}
	return err
}
