package selection

import (
	"fmt"
	"time"
)

// Policy is how a server is chosen among those that may take the request. All but
// ExpectedTime are baselines for measurements.
type Policy uint8

// Policies.
const (
	// ExpectedTime takes the server with the least expected time to the first byte.
	ExpectedTime Policy = iota
	// RoundRobin takes the server that was used the longest time ago.
	RoundRobin
	// LeastOutstanding takes the server with the fewest requests of this router.
	LeastOutstanding
)

var policyNames = map[string]Policy{
	"expected_time": ExpectedTime, "round_robin": RoundRobin, "least_outstanding": LeastOutstanding,
}

// ParsePolicy returns the policy of a name.
func ParsePolicy(name string) (Policy, error) {
	if p, ok := policyNames[name]; ok {
		return p, nil
	}
	return 0, fmt.Errorf("choice of servers: %q is not expected_time, round_robin or least_outstanding", name)
}

// cost orders the candidates: the least one is taken, the first of equal ones. delay
// is the expected time of the request and the burden on others.
func (p Policy) cost(now time.Time, s *state, delay time.Duration) time.Duration {
	switch p {
	case RoundRobin:
		return time.Duration(s.turn)
	case LeastOutstanding:
		return time.Duration(s.inFlight)
	}
	return delay + s.risk(now)
}
