package selection

import (
	"fmt"
	"time"
)

// Policy selects among the servers that may take a request. All policies except
// ExpectedTime are baselines for benchmarks.
type Policy uint8

// Policies.
const (
	// ExpectedTime picks the server with the lowest expected time to the first byte,
	// corrected for failures and for the delay that the request causes to others.
	ExpectedTime Policy = iota
	// RoundRobin picks the least recently used server.
	RoundRobin
	// LeastOutstanding picks the server with the fewest unfinished requests of this
	// router.
	LeastOutstanding
)

var policyNames = map[string]Policy{
	"expected_time": ExpectedTime, "round_robin": RoundRobin, "least_outstanding": LeastOutstanding,
}

// ParsePolicy returns the policy with the name.
func ParsePolicy(name string) (Policy, error) {
	if p, ok := policyNames[name]; ok {
		return p, nil
	}
	return 0, fmt.Errorf("server selection policy %q is not expected_time, round_robin or least_outstanding", name)
}

// cost returns the sort key of a candidate. The candidate with the lowest cost is
// chosen, and the first of several with the same cost. delay is the expected time to
// the first byte plus the weighted delay caused to other requests.
func (p Policy) cost(now time.Time, s *serverState, delay time.Duration) time.Duration {
	switch p {
	case RoundRobin:
		return time.Duration(s.lastChoice)
	case LeastOutstanding:
		return time.Duration(s.inFlight)
	}
	return delay + s.failurePenalty(now)
}
