package gateway

import (
	"cactusknot.example/daemon/httplimit"
	"cactusknot.example/daemon/result"
)

// defaultIntake bounds the memory that requests take in bytes if no other bound is set.
const defaultIntake = 256 << 20

// readBody reads the whole request body, so that the request can be sent again.
func (g *Gateway) readBody(x *requestState) *result.Error {
	body, err := x.body.Read(g.Intake, x.deadline, x.view.Config.Limits.MaxBodyBytes)
	if err != nil {
		return httplimit.ResultOf(err, result.CallerGone)
	}
	x.call.Body = body
	return nil
}

// releaseBody gives back the memory of the body.
func (x *requestState) releaseBody() {
	x.call.Body = nil
	x.body.Release()
}
