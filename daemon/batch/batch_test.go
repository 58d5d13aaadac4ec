package batch

import (
	"bytes"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// sink counts the writes that reach it.
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

// Guards against a system call for each line, against lines that wait too long, out
// of order or for ever, and against lines lost at the end of the process.
func TestWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{}
		w := NewWriter(out)
		for _, line := range []string{"a", "b", "c"} {
			_, _ = w.Write([]byte(line))
		}
		if out.writes != 0 {
			t.Errorf("%d writes at once", out.writes)
		}
		time.Sleep(maxDelay + time.Millisecond)
		synctest.Wait()
		if out.writes != 1 || out.text.String() != "abc" {
			t.Errorf("%d writes, %q", out.writes, out.text.String())
		}
		_, _ = w.Write(make([]byte, maxBytes))
		if out.writes != 2 {
			t.Error("a full buffer waits")
		}
		_, _ = w.Write([]byte("d"))
		if err := w.Close(); err != nil || out.text.Bytes()[out.text.Len()-1] != 'd' {
			t.Errorf("%v; the last line is missing", err)
		}
		_, _ = w.Write([]byte("e"))
		if out.text.Bytes()[out.text.Len()-1] != 'e' {
			t.Error("a line after the end waits")
		}
	})
}

// Guards against a failure of standard output that nobody hears of.
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
