package loadgen

import (
	"io"

	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/result"
)

// ErrorEvent is an error that the router reported within a response.
type ErrorEvent struct {
	Code string
	Run  result.Run
}

// ReadChatResponse reads the answer to a chat request with the prompt to its end and
// checks that it is whole and belongs to the prompt. pause is called after each
// event of a streamed answer. An error event is returned as such; otherwise the
// error is ErrIncomplete or ErrWrongAnswer.
func ReadChatResponse(r io.Reader, stream bool, prompt string, pause func()) (emulate.Marker, *ErrorEvent, error) {
	var a *answer
	var err error
	if stream {
		a, err = readStream(r, func() {}, pause)
	} else {
		a, err = readWhole(r)
	}
	if a.err != nil {
		return emulate.Marker{}, &ErrorEvent{Code: a.err.Code, Run: result.Run(a.err.Run)}, nil
	}
	if err == nil {
		err = a.check()
	}
	if err != nil {
		return emulate.Marker{}, nil, err
	}
	m, err := a.checkMarker(prompt)
	return m, nil, err
}
