package edge

import (
	"time"

	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/serverlimit"
)

// standbyShare is the share of the rate limits that the aggregators after the first give
// out: routers that can't reach the first one use them beside it.
const standbyShare = 0.5

// limitExchange is the part of the exchange that concerns the rate limits that backend
// servers name. It implements isolated.
type limitExchange struct {
	edge *Edge
	bank serverlimit.Bank
	// askedAt is the time of the latest report. Only the exchange loop uses it.
	askedAt time.Time
}

func (l *limitExchange) tokens() *serverlimit.Tokens { return l.edge.gateway.Chooser.Limits }

func (l *limitExchange) report(now time.Time, out *rpc.LoadReport) {
	claims, cursor := l.tokens().Claims(now)
	l.askedAt = now
	out.LimitCursor = encodeCursor(cursor)
	for _, c := range claims {
		out.Limits = append(out.Limits, &rpc.LimitClaim{
			Server: c.Server, Observed: encodeObservation(now, c.Observed), Returned: uint32(c.Returned), Wanted: uint32(c.Wanted),
		})
	}
}

func (l *limitExchange) aggregate(now time.Time, in *rpc.LoadReport, out *rpc.LoadReply) {
	grants, cursor := l.bank.Exchange(now, decodeClaims(now, in.GetLimits()), decodeCursor(in.GetLimitCursor()), l.share())
	out.LimitCursor = encodeCursor(cursor)
	for _, g := range grants {
		out.Limits = append(out.Limits, &rpc.LimitGrant{
			Server: g.Server, Observed: encodeObservation(now, g.Observed), Tokens: uint32(g.Tokens), Recheck: g.Recheck,
		})
	}
}

// share returns the share of the limits that this router gives out as aggregator.
func (l *limitExchange) share() float64 {
	if list := l.edge.controller.loadAggregatorAddresses(); len(list) > 0 && list[0] == "" {
		return 1
	}
	return standbyShare
}

func (l *limitExchange) apply(now time.Time, in *rpc.LoadReply) {
	grants := make([]serverlimit.Grant, 0, len(in.GetLimits()))
	for _, g := range in.GetLimits() {
		grants = append(grants, serverlimit.Grant{
			Server: g.GetServer(), Observed: decodeObservation(now, g.GetObserved()), Tokens: int(g.GetTokens()), Recheck: g.GetRecheck(),
		})
	}
	l.tokens().Apply(l.askedAt, grants, decodeCursor(in.GetLimitCursor()))
}

// evaluateAlone uses an equal share of each limit, since the other routers may do so too.
func (l *limitExchange) evaluateAlone(now time.Time, own *rpc.LoadReport) {
	routers := 1
	if view := l.edge.view.Load(); view != nil {
		routers = max(1, len(view.Routers))
	}
	grants, cursor := l.bank.Exchange(now, decodeClaims(now, own.GetLimits()), decodeCursor(own.GetLimitCursor()), 1/float64(routers))
	l.tokens().Apply(l.askedAt, grants, cursor)
}

func decodeClaims(now time.Time, list []*rpc.LimitClaim) []serverlimit.Claim {
	claims := make([]serverlimit.Claim, 0, len(list))
	for _, c := range list {
		claims = append(claims, serverlimit.Claim{
			Server: c.GetServer(), Observed: decodeObservation(now, c.GetObserved()), Returned: int(c.GetReturned()), Wanted: int(c.GetWanted()),
		})
	}
	return claims
}

func encodeCursor(c serverlimit.Cursor) *rpc.LimitCursor {
	return &rpc.LimitCursor{Epoch: c.Epoch, Sequence: c.Sequence}
}

func decodeCursor(in *rpc.LimitCursor) serverlimit.Cursor {
	return serverlimit.Cursor{Epoch: in.GetEpoch(), Sequence: in.GetSequence()}
}

// encodeObservation returns nil for no observation.
func encodeObservation(now time.Time, o serverlimit.Observation) *rpc.LimitObservation {
	if o.At.IsZero() {
		return nil
	}
	return &rpc.LimitObservation{PerSecond: o.PerSecond, AgeMs: ageMS(now, o.At)}
}

func decodeObservation(now time.Time, in *rpc.LimitObservation) serverlimit.Observation {
	if in == nil {
		return serverlimit.Observation{}
	}
	return serverlimit.Observation{PerSecond: in.GetPerSecond(), At: timeAgo(now, in.GetAgeMs())}
}
