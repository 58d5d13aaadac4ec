package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// eventBufferSize is the size in bytes of the read buffer for events.
	eventBufferSize = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
)

// errNoRoom is returned for a long event while all responses together have used up their budget.
var errNoRoom = errors.New("gateway: no room for a long event")

// errInvalidEvent is returned for data that is not a valid event stream.
var errInvalidEvent = errors.New("gateway: not an event stream")

// streamEvent is one event of a stream.
type streamEvent struct {
	// raw holds the bytes of the event, including the blank line that ends it. It is
	// valid until the next call of eventReader.next.
	raw []byte
	// id is -1 if the event has none.
	id int64
	// hasData is false if the event consists of comments only.
	hasData bool
}

// eventReader splits a body into server-sent events.
type eventReader struct {
	lines *bufio.Reader
	raw   []byte
	// room is taken for the first event of more than uncountedAnswer bytes and kept, as raw is.
	room *reservation
}

func newEventReader(body io.Reader, room *reservation) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(body, eventBufferSize), room: room}
}

// next returns the next event. With an error it returns what it has read of the event.
// Blank lines between events are dropped.
func (r *eventReader) next() (streamEvent, error) {
	e := streamEvent{id: -1}
	r.raw = r.raw[:0]
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			e.raw = r.raw
			return e, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		switch {
		case len(line) == 0 && start > 0:
			e.raw = r.raw
			return e, nil
		case len(line) == 0:
			r.raw = r.raw[:0]
		case line[0] != ':':
			e.hasData = true
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil || id < 0 {
				return e, errInvalidEvent
			}
			e.id = id
		}
	}
}

// readLine appends the next line to the current event.
func (r *eventReader) readLine() error {
	for {
		part, err := r.lines.ReadSlice('\n')
		if len(r.raw)+len(part) > uncountedAnswer && r.room.bytes == 0 && !r.room.take(maxEventBytes) {
			return errNoRoom
		}
		r.raw = append(r.raw, part...)
		switch {
		case len(r.raw) > maxEventBytes:
			return errInvalidEvent
		case !errors.Is(err, bufio.ErrBufferFull):
			return err
		}
	}
}
