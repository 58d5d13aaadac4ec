package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"time"

	"cactusknot.example/daemon/progress"
)

// Owner tells which request a response belongs to.
type Owner uint8

// Owners of responses.
const (
	// Foreign responses belong to another request.
	Foreign Owner = iota
	// Own responses belong to the request that was sent.
	Own
	// Unidentified responses name no request. They count as the request's if the
	// connection has carried no other.
	Unidentified
)

const (
	// maxHeadBytes and maxHeadLines bound the head of a response.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// maxForeignBytes bounds the body of a response to another request, which is read
	// and discarded.
	maxForeignBytes = 64 << 10
	// maxSkippedResponses is the number of informational responses and responses to
	// other requests that are skipped on one connection before it is closed.
	maxSkippedResponses = 4
	// maxEventBytes bounds what may arrive of a body before the consumer reports
	// progress.
	maxEventBytes = 256 << 10
	// stallTimeout bounds the time in which data may arrive without progress. TCP needs
	// seconds to repair a link that loses packets.
	stallTimeout = 5 * time.Second
)

// Errors for data that does not follow the protocol. They are joined with ErrBroken.
var (
	errForeign        = errors.New("response of another request without an end")
	errUnidentified   = errors.New("response without a request ID on a connection that was in use before")
	errTooManySkipped = errors.New("too many responses of other requests")
	errAmbiguousHead  = errors.New("response head contains another status line")
	errInvalidStatus  = errors.New("response has no valid status")
)

// Violation returns a short name for the protocol violation that caused an error of this
// package, for metrics and state, or "" if the error has another cause.
func Violation(err error) string {
	switch {
	case errors.Is(err, progress.ErrStalled):
		return "stalled"
	case errors.Is(err, progress.ErrTooLong):
		return "too_long"
	case errors.Is(err, errForeign), errors.Is(err, errUnidentified), errors.Is(err, errTooManySkipped):
		return "foreign_response"
	case errors.Is(err, errAmbiguousHead):
		return "ambiguous_head"
	case errors.Is(err, errInvalidStatus):
		return "invalid_status"
	}
	return ""
}

// ValidStatus reports whether a response may have a status: those of RFC 9110 without 101, since no
// request asks for another protocol. A server that sends any other is in trouble, and its response
// is none.
func ValidStatus(status int) bool {
	return status >= http.StatusContinue && status < 600 && status != http.StatusSwitchingProtocols
}

// statusLine matches a status line inside a header field: a response that was cut off
// within its head and followed by another response looks like that.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// readHead reads responses until one belongs to the request, and leaves its body unread.
func (e *Exchange) readHead(method string, owner func(http.Header) Owner) error {
	for range maxSkippedResponses {
		response, err := e.readResponse(method)
		if err != nil {
			return err
		}
		if !ValidStatus(response.StatusCode) {
			return fmt.Errorf("%w: %d", errInvalidStatus, response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		e.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		switch owner(response.Header) {
		case Own:
			e.accept(response)
			return nil
		case Unidentified:
			if len(e.conn.carried) > 1 {
				return errUnidentified
			}
			e.accept(response)
			return nil
		}
		if err := e.skip(response); err != nil {
			return err
		}
	}
	return errTooManySkipped
}

// readResponse reads the head of a response.
func (e *Exchange) readResponse(method string) (*http.Response, error) {
	e.conn.input.Begin(progress.Limits{Bytes: maxHeadBytes, Lines: maxHeadLines, Time: stallTimeout})
	response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	for _, values := range response.Header {
		for _, value := range values {
			if statusLine.MatchString(value) {
				return nil, errAmbiguousHead
			}
		}
	}
	return response, nil
}

// accept makes a response that of the exchange.
func (e *Exchange) accept(response *http.Response) {
	e.Status, e.Header, e.body = response.StatusCode, response.Header, response.Body
	e.reuse = !response.Close && e.framed && !e.skipped
	e.conn.input.Begin(progress.Limits{Bytes: maxEventBytes, Time: stallTimeout})
}

// skip discards the late response to another request. The connection is not used again
// afterwards, because more of that kind may follow.
func (e *Exchange) skip(response *http.Response) error {
	e.skipped = true
	if !e.framed {
		return errForeign
	}
	e.conn.input.Begin(progress.Limits{Bytes: maxForeignBytes, Time: stallTimeout})
	_, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return errors.Join(errForeign, err)
	}
	return nil
}
