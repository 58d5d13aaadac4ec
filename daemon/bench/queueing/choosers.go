package queueing

import (
	"slices"

	"cactusknot.example/daemon/balance"
)

// chooser returns the index of the server for a request, or -1 when there is none.
type chooser func(r *router, q *request) int

// chooseBalanced uses the balancer of package balance, which is under test.
func chooseBalanced(r *router, q *request) int {
	a, ok := r.currentSnapshot().Choose(r.random, r.cluster.loop.currentTime(), balance.Request{
		Target:    target,
		Prefix:    q.lengths.prefix,
		MaxTokens: r.cluster.workload.AnswerMax,
		Tried:     q.tried,
	})
	if !ok {
		return -1
	}
	return slices.IndexFunc(r.view, func(v balance.Agent) bool { return v.VM == a.VM })
}

// candidates returns the servers in service that the request has not tried yet, or
// all servers in service when it has tried them all.
func candidates(r *router, q *request) []int {
	var untried, all []int
	for i := range r.view {
		if !r.serving(i) {
			continue
		}
		all = append(all, i)
		if !slices.Contains(q.tried, r.view[i].VM) {
			untried = append(untried, i)
		}
	}
	if len(untried) > 0 {
		return untried
	}
	return all
}

func chooseRandom(r *router, q *request) int {
	from := candidates(r, q)
	if len(from) == 0 {
		return -1
	}
	return from[r.random.IntN(len(from))]
}

func chooseRoundRobin(r *router, q *request) int {
	from := candidates(r, q)
	if len(from) == 0 {
		return -1
	}
	for range len(r.view) {
		r.roundRobinNext = (r.roundRobinNext + 1) % len(r.view)
		if slices.Contains(from, r.roundRobinNext) {
			return r.roundRobinNext
		}
	}
	return from[0]
}

// chooseLeastOutstanding chooses the server with the fewest running requests in
// the last polled states; ties are broken at random.
func chooseLeastOutstanding(r *router, q *request) int {
	from := candidates(r, q)
	if len(from) == 0 {
		return -1
	}
	r.random.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return slices.MinFunc(from, func(a, b int) int { return r.outstanding[a] - r.outstanding[b] })
}

// chooseOracle chooses the server with the fewest held requests, weighted by the
// engine's current slowdown, from the actual state of all servers. No router has
// this state; the result shows how much any policy could reach.
func chooseOracle(r *router, _ *request) int {
	best, cost := -1, 0.0
	for i, s := range r.cluster.servers {
		if !s.alive || s.admission.State().Free == 0 {
			continue
		}
		if c := float64(s.engine.held()+1) * s.engine.slowdown(); best < 0 || c < cost {
			best, cost = i, c
		}
	}
	return best
}
