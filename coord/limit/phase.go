package limit

// Phase is the state of a backend server with regard to admission.
type Phase uint8

// Values of Phase.
const (
	// Cold: the ramp limit applies until enough requests have completed.
	Cold Phase = iota + 1
	// Warm: the configured limits apply.
	Warm
	// Leaving: no new requests are admitted; running requests finish.
	Leaving
	// Down: the backend server does not answer; no new requests are admitted.
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

// Refusal is the reason why a request was not admitted. A refused request was not
// sent to the backend server.
type Refusal uint8

// Values of Refusal.
const (
	// NotRefused: the request was admitted.
	NotRefused Refusal = iota
	// RefusedFull: MaxRequests is reached.
	RefusedFull
	// RefusedTokens: the request would exceed MaxTokens.
	RefusedTokens
	// RefusedCold: the ramp limit of the cold start is reached.
	RefusedCold
	// RefusedLeaving: the backend server is leaving.
	RefusedLeaving
	// RefusedPaused: the backend server has asked for no requests for a time.
	RefusedPaused
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
	case RefusedPaused:
		return "paused"
	case RefusedDown:
		return "down"
	}
	return "unspecified"
}

// ColdReason is the reason why a backend server is considered cold.
type ColdReason string

// Values of ColdReason.
const (
	// ColdStarted: the agent or the backend server has just started.
	ColdStarted ColdReason = "started"
	// ColdReturned: the backend server returned after leaving or being down.
	ColdReturned ColdReason = "returned"
	// ColdPaused: the backend server has asked for a pause.
	ColdPaused ColdReason = "paused"
	// ColdFirstToken: the time to first token rose far above its baseline.
	ColdFirstToken ColdReason = "first_token"
	// ColdCacheLost: prefixes expected in the cache were missing, or the cache events
	// show that the cache was cleared.
	ColdCacheLost ColdReason = "cache_lost"
	// ColdRestarted: the backend server shows signs of a restart, such as reset
	// connections, a lower uptime or unknown running requests.
	ColdRestarted ColdReason = "restarted"
	// ColdLimits: the request limit was raised above the load that the server has
	// carried so far.
	ColdLimits ColdReason = "limits"
)
