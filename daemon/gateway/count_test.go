package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

// promptCodec makes every call one of a model service.
type promptCodec struct{ testCodec }

func (c promptCodec) Decode(r *http.Request) *Call {
	call := c.testCodec.Decode(r)
	call.PromptTokens = 10
	return call
}

// Guards against requests that count once for each attempt, that count although no server has
// run them, and that do not count because their first attempt was refused.
func TestRequestsCountOnce(t *testing.T) {
	dead := newServer(t, "dead", closeWithoutAnswer)
	dead.listener.Close()
	refusing, broken := newServer(t, "refusing", refuseNotRun), newServer(t, "broken", closeWithoutAnswer)
	good := newServer(t, "good", respond(200, "ok"))
	for _, c := range []struct {
		name    string
		servers []*server
		// plain and model are the expected counts of a plain and of a model service. A request
		// to a plain service without an answer may have run.
		plain, model int32
	}{
		{"answered", []*server{good}, 1, 1},
		{"refused", []*server{refusing}, 0, 0},
		{"refused, then answered", []*server{refusing, good}, 1, 1},
		{"not sent, then answered", []*server{dead, good}, 1, 1},
		{"broken, then answered", []*server{broken, good}, 1, 1},
		{"broken", []*server{broken}, 1, 0},
	} {
		for _, want := range []struct {
			codec HeaderCodec
			n     int32
		}{{testCodec{}, c.plain}, {promptCodec{}, c.model}} {
			r := newHarness(t, topology.Route{Kind: topology.Idempotent, MaxAttempts: 2})
			r.keys = map[string]*topology.Workspace{"k1": {Name: "w1"}}
			r.publish(topology.Route{Kind: topology.Idempotent, MaxAttempts: 2}, c.servers...)
			var n atomic.Int32
			r.Codec = want.codec
			r.Count = func(workspace string, _ time.Time, delta int32) {
				if workspace == "w1" {
					n.Add(delta)
				}
			}
			for range 4 {
				r.call(http.MethodGet, "/x", "", "Key", "k1")
			}
			if n.Load() != 4*want.n {
				t.Errorf("%s, %T: counted %d of 4", c.name, want.codec, n.Load())
			}
		}
	}
}
