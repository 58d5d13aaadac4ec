package progress

import (
	"errors"
	"io"
	"testing"
	"time"
)

// clock is a settable time.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

// timedSource returns one piece per read, each after its delay.
type timedSource struct {
	clock  *clock
	delays []time.Duration
	piece  string
}

func (s *timedSource) Read(p []byte) (int, error) {
	if len(s.delays) == 0 {
		return 0, io.EOF
	}
	s.clock.at = s.clock.at.Add(s.delays[0])
	s.delays = s.delays[1:]
	return copy(p, s.piece), nil
}

// read reads to the end and records progress after every perItem reads; 0 means never.
func read(r *Reader, perItem int) (reads int, err error) {
	buffer := make([]byte, 64)
	for {
		if _, err := r.Read(buffer); err != nil {
			return reads, err
		}
		if reads++; perItem > 0 && reads%perItem == 0 {
			r.Made()
		}
	}
}

func repeated(d time.Duration, n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = d
	}
	return list
}

// A stalled peer that sends a byte now and then is cut once its bytes have brought nothing
// for the time limit. A sound peer may pause between and within its items.
func TestTimeLimit(t *testing.T) {
	const limit = 5 * time.Second
	for name, c := range map[string]struct {
		delays  []time.Duration
		perItem int
		want    error
	}{
		"a byte each second without an item":      {repeated(time.Second, 60), 0, ErrStalled},
		"a byte each 20 s without an item":        {repeated(20*time.Second, 60), 0, ErrStalled},
		"up to the limit":                         {repeated(limit/5, 6), 0, io.EOF},
		"past the limit":                          {repeated(limit/5+time.Millisecond, 7), 0, ErrStalled},
		"items with pauses of 20 s between them":  {repeated(20*time.Second, 60), 1, io.EOF},
		"items of two reads, 20 s apart":          {repeated(20*time.Second, 60), 2, io.EOF},
		"items of five reads, each after 2 s":     {repeated(2*time.Second, 60), 5, ErrStalled},
		"items of five reads, each after 1 s":     {repeated(time.Second, 60), 5, io.EOF},
		"one byte after a silence without an end": {[]time.Duration{time.Hour}, 0, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &clock{time.Unix(1000, 0)}
			r := NewReader(&timedSource{clock, c.delays, "x"}, clock.now)
			r.Begin(Limits{Time: limit})
			if _, err := read(r, c.perItem); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// A peer that sends without end is cut at the number of bytes, or of lines, that may
// arrive without progress.
func TestSizeLimits(t *testing.T) {
	for name, c := range map[string]struct {
		limits    Limits
		perItem   int
		wantReads int
		want      error
	}{
		"bytes":               {Limits{Bytes: 40}, 0, 10, ErrTooLong},
		"bytes with progress": {Limits{Bytes: 40}, 9, 1000, io.EOF},
		"lines":               {Limits{Lines: 40}, 0, 40, ErrTooLong},
		"none":                {Limits{}, 0, 1000, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &clock{time.Unix(1000, 0)}
			r := NewReader(&timedSource{clock, repeated(0, 1000), "abc\n"}, clock.now)
			r.Begin(c.limits)
			if reads, err := read(r, c.perItem); !errors.Is(err, c.want) || reads != c.wantReads {
				t.Errorf("%d reads and %v, want %d and %v", reads, err, c.wantReads, c.want)
			}
		})
	}
}
