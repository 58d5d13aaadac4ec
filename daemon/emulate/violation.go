package emulate

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
)

// Violations of the protocol that an engine can be told to commit in place of its chat
// responses.
const (
	// ViolationEndlessHead sends header lines without end.
	ViolationEndlessHead = "endless_head"
	// ViolationEndlessBody begins a stream and sends comment lines without end.
	ViolationEndlessBody = "endless_body"
	// ViolationStall begins a stream and sends a byte now and then that completes nothing.
	ViolationStall = "stall"
)

const (
	// stallByteInterval is the time between the bytes of ViolationStall.
	stallByteInterval = 200 * time.Millisecond
	endlessHeaderLine = "X-Filler: filler\r\n"
	endlessComment    = ": filler\n"
)

func checkViolation(name string) error {
	if !slices.Contains([]string{"", ViolationEndlessHead, ViolationEndlessBody, ViolationStall}, name) {
		return trace.BadParameter("violation %q is not endless_head, endless_body or stall", name)
	}
	return nil
}

// violate commits a violation until the client closes the connection.
func violate(c echo.Context, name string) error {
	if name == ViolationEndlessHead {
		return sendEndlessHead(c)
	}
	c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
	c.Response().WriteHeader(http.StatusOK)
	if name == ViolationStall {
		return repeatUntilClosed(c.Request().Context(), c.Response(), "x", stallByteInterval)
	}
	return repeatUntilClosed(c.Request().Context(), c.Response(), endlessComment, 0)
}

func sendEndlessHead(c echo.Context) error {
	conn, buffered, err := http.NewResponseController(c.Response()).Hijack()
	if err != nil {
		return trace.Wrap(err)
	}
	defer conn.Close()
	_, err = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	for err == nil {
		_, err = buffered.WriteString(endlessHeaderLine)
	}
	return nil
}

// repeatUntilClosed writes a text again and again until the client has left.
func repeatUntilClosed(ctx context.Context, w http.ResponseWriter, text string, pause time.Duration) error {
	for ctx.Err() == nil {
		if _, err := io.WriteString(w, text); err != nil {
			return nil
		}
		if pause == 0 {
			continue
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return nil
		}
		time.Sleep(pause)
	}
	return nil
}
