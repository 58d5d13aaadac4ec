package loadgen

import (
	"io"

	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/result"
)

// ErrorEvent is an error that the router reported in a response body or stream.
type ErrorEvent struct {
	Code string
	Run  result.Run
}

// ReadChatResponse reads the whole response to a chat request and checks that it is
// complete and belongs to prompt. It calls pause after each event of a streamed
// response. If the response reports an error, it is returned as an ErrorEvent; an
// invalid response gives ErrIncomplete or ErrWrongResponse.
func ReadChatResponse(r io.Reader, stream bool, prompt string, pause func()) (emulate.Marker, *ErrorEvent, error) {
	var resp *chatResponse
	var err error
	if stream {
		resp, err = readStream(r, func() {}, pause)
	} else {
		resp, err = readJSON(r)
	}
	if resp.err != nil {
		return emulate.Marker{}, &ErrorEvent{Code: resp.err.Code, Run: result.Run(resp.err.Run)}, nil
	}
	if err == nil {
		err = resp.checkComplete()
	}
	if err != nil {
		return emulate.Marker{}, nil, err
	}
	m, err := resp.checkMarker(prompt)
	return m, nil, err
}
