package batch

import (
	"bytes"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// sink records the writes that it receives and returns err from each.
type sink struct {
	mu     sync.Mutex
	text   bytes.Buffer
	writes int
	err    error
}

func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.text.Write(p)
	return len(p), s.err
}

// Lines must be written together, in order and without long delay, and none may be lost
// at the end of the process.
func TestWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{}
		w := NewWriter(out)
		for _, line := range []string{"a", "b", "c"} {
			_, _ = w.Write([]byte(line))
		}
		if out.writes != 0 {
			t.Errorf("%d writes before the delay", out.writes)
		}
		time.Sleep(maxDelay + time.Millisecond)
		synctest.Wait()
		if out.writes != 1 || out.text.String() != "abc" {
			t.Errorf("%d writes, %q", out.writes, out.text.String())
		}
		_, _ = w.Write(make([]byte, maxBytes))
		if out.writes != 2 {
			t.Error("a full buffer is not flushed immediately")
		}
		_, _ = w.Write([]byte("d"))
		if err := w.Close(); err != nil || out.text.Bytes()[out.text.Len()-1] != 'd' {
			t.Errorf("%v; the last line is missing", err)
		}
		_, _ = w.Write([]byte("e"))
		if out.text.Bytes()[out.text.Len()-1] != 'e' {
			t.Error("a line after Close is not written immediately")
		}
	})
}

// The failure of a delayed write must be reported by a later call.
func TestDelayedError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := errors.New("broken pipe")
		w := NewWriter(&sink{err: broken})
		_, _ = w.Write([]byte("a"))
		time.Sleep(2 * maxDelay)
		synctest.Wait()
		if _, err := w.Write([]byte("b")); !errors.Is(err, broken) {
			t.Errorf("got %v", err)
		}
	})
}
