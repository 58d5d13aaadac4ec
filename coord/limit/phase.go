package limit

// Phase is the state of a backend server as its admission sees it.
type Phase uint8

// Values of Phase.
const (
	// Cold: the ramp limits admission until enough requests have completed.
	Cold Phase = iota + 1
	// Warm: the configured limits apply.
	Warm
	// Leaving: no new work; running requests finish.
	Leaving
	// Down: the backend server does not answer; no new work.
	Down
)

// String returns the name used in logs.
func (p Phase) String() string {
	switch p {
	case Cold:
		return "cold"
	case Warm:
		return "warm"
	case Leaving:
		return "leaving"
	case Down:
		return "down"
	}
	return "unspecified"
}

// Refusal says why a request was not admitted. A refused request has not
// reached the backend server.
type Refusal uint8

// Values of Refusal.
const (
	// NotRefused: the request was admitted.
	NotRefused Refusal = iota
	// RefusedFull: the limit of concurrent requests is reached.
	RefusedFull
	// RefusedTokens: the limit of held tokens is reached.
	RefusedTokens
	// RefusedCold: the ramp of the cold start is full.
	RefusedCold
	// RefusedLeaving: the backend server is leaving.
	RefusedLeaving
	// RefusedDown: the backend server is down.
	RefusedDown
)

// String returns the name used in logs and metrics.
func (r Refusal) String() string {
	switch r {
	case NotRefused:
		return "not_refused"
	case RefusedFull:
		return "full"
	case RefusedTokens:
		return "tokens"
	case RefusedCold:
		return "cold"
	case RefusedLeaving:
		return "leaving"
	case RefusedDown:
		return "down"
	}
	return "unspecified"
}

// ColdReason says why the backend server was taken to be cold.
type ColdReason string

// Values of ColdReason.
const (
	// ColdStarted: the agent or the backend server has just started.
	ColdStarted ColdReason = "started"
	// ColdReturned: the backend server returned after leaving or being down.
	ColdReturned ColdReason = "returned"
	// ColdFirstToken: first-token times rose far above their baseline.
	ColdFirstToken ColdReason = "first_token"
	// ColdCacheLost: prefixes that should have been cached were not, or the
	// cache events show that the cache was cleared.
	ColdCacheLost ColdReason = "cache_lost"
	// ColdRestarted: the backend server shows signs of a restart, such as reset
	// connections, a lower uptime or unknown running requests.
	ColdRestarted ColdReason = "restarted"
	// ColdLimits: the configured limits rose above what was proved.
	ColdLimits ColdReason = "limits"
)
