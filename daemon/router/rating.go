package router

import (
	"context"
	"time"

	"cactusknot.example/coord/stats"
	"cactusknot.example/daemon/platform"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

const (
	// maxRatings bounds the concurrent background ratings. Further answers are not
	// rated.
	maxRatings = 32
	// rateTimeout bounds one call to the rating service.
	rateTimeout = 2 * time.Second
)

// rate asks the rating service for the score of an answer. It returns false if the
// service is not configured, fails or does not answer in time.
func (r *Router) rate(ctx context.Context, c *call, d *routing.Decision, text string) (float64, bool) {
	if r.rating == nil {
		return 0, false
	}
	bounded, cancel := context.WithTimeout(ctx, rateTimeout)
	defer cancel()
	score, err := r.rating.Rate(bounded, platform.RatingRequest{
		Model:   d.Model,
		Version: d.Version,
		Kind:    c.route.Kind,
		Prompt:  c.chat.prompt(),
		Answer:  text,
	})
	up := err == nil
	if r.ratingUp.Swap(up) != up {
		r.Log.Info().Bool("up", up).AnErr("error", err).Msg("availability of the rating service changed")
		r.send(configChangedEvent{})
	}
	return score, up
}

// rateInBackground has a finished answer rated without delaying the caller.
func (r *Router) rateInBackground(c *call, d *routing.Decision, text string) {
	if text == "" {
		return
	}
	decision := *d
	r.startRating(func(ctx context.Context) {
		if score, ok := r.rate(ctx, c, &decision, text); ok {
			r.countRating(routing.FirstAnswerKey(&c.route, &decision, score), score)
		}
	})
}

// rateSecondAnswer has the second answer of a cascade rated in the background and
// counts its score under the key for the first answer's score.
func (r *Router) rateSecondAnswer(c *call, second *routing.Decision, firstScore float64, text string) {
	if text == "" {
		return
	}
	first, decision := c.decision, *second
	r.startRating(func(ctx context.Context) {
		if score, ok := r.rate(ctx, c, &decision, text); ok {
			r.countRating(routing.SecondAnswerKey(&c.route, &first, &decision, firstScore), score)
		}
	})
}

// startRating runs f in a goroutine, or drops it if maxRatings are in progress.
func (r *Router) startRating(f func(context.Context)) {
	select {
	case r.ratingSlots <- struct{}{}:
	default:
		r.metrics.unrated.Inc()
		return
	}
	go func() {
		defer func() { <-r.ratingSlots }()
		f(context.Background())
	}()
}

func (r *Router) countRating(key routing.CounterKey, score float64) {
	r.send(ratingEvent{key: key, score: score})
}

// apply adds the rating to this router's own counters. sendCounters later sends
// the new totals to the other routers.
func (e ratingEvent) apply(c *controller) {
	if err := c.table.Add(e.key, e.score); err != nil {
		c.router.Log.Warn().Err(err).Msg("could not count a rating")
		return
	}
	c.changedKeys[e.key] = true
}

func (e counterEvent) apply(c *controller) {
	in := e.counter
	_, err := c.table.Merge([]stats.Entry[routing.CounterKey]{{
		Node:    stats.Node{Name: in.GetNode(), Incarnation: in.GetNodeIncarnation()},
		Key:     routing.CounterKey{Workspace: in.GetWorkspace(), Model: in.GetModel(), Version: in.GetVersion(), Kind: in.GetKind()},
		Counter: stats.Counter{Count: in.GetCount(), Sum: in.GetSum(), SumSquares: in.GetSumSquares()},
	}})
	if err != nil {
		c.router.Log.Warn().Err(err).Str("node", in.GetNode()).Msg("could not merge a rating counter")
		return
	}
	c.ratingsChanged = true
}

// evaluate sends the own counters to the other routers, runs the statistical tests
// on the ratings of all routers and stops versions whose test fired. With many
// workspaces the tests are costly and run less often than the counters are sent.
func (c *controller) evaluate() {
	now := c.router.Clock.Now()
	if len(c.changedKeys) > 0 && now.Sub(c.countersSentAt) >= evaluationInterval {
		c.countersSentAt = now
		c.sendCounters()
		c.ratingsChanged = true
	}
	if !c.ratingsChanged || now.Sub(c.evaluated) < max(evaluationInterval, c.evaluationPause) {
		return
	}
	c.evaluated = now
	defer func() { c.evaluationPause = evaluationPauseFactor * c.router.Clock.Now().Sub(now) }()
	c.ratingsChanged = false
	c.staleRoutes = true
	c.publish()
	if c.routes == nil {
		return
	}
	for _, verdict := range c.routes.Verdicts(routing.DefaultStopTest()) {
		c.applyVerdict(verdict)
	}
}

func (c *controller) sendCounters() {
	own, version := c.table.Delta(c.sentVersion)
	c.sentVersion = version
	for _, entry := range own {
		if !c.changedKeys[entry.Key] || entry.Node.Name != c.router.settings.VM {
			continue
		}
		c.router.Syncer.RecordCounter(&rpc.QualityCounter{
			Node:            entry.Node.Name,
			NodeIncarnation: entry.Node.Incarnation,
			Workspace:       entry.Key.Workspace,
			Model:           entry.Key.Model,
			Version:         entry.Key.Version,
			Kind:            entry.Key.Kind,
			Count:           entry.Counter.Count,
			Sum:             entry.Counter.Sum,
			SumSquares:      entry.Counter.SumSquares,
		})
	}
	clear(c.changedKeys)
}

func (c *controller) applyVerdict(verdict routing.Verdict) {
	log := c.router.Log.Warn().Str("model", verdict.Stop.Model).Str("version", verdict.Stop.Version).
		Uint64("generation", verdict.Stop.Generation).Str("cause", string(verdict.Cause)).Float64("log_evidence", verdict.LogE)
	if verdict.Alert {
		c.router.metrics.alerts.Inc()
		log.Msg("version is below its target and has no replacement")
		return
	}
	log.Msg("version stopped")
	c.router.Syncer.RaiseStop(&rpc.StopNotice{
		Model:      verdict.Stop.Model,
		Version:    verdict.Stop.Version,
		Generation: verdict.Stop.Generation,
		Reason:     string(verdict.Cause),
		Origin:     c.router.settings.VM,
	})
}
