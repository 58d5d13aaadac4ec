package queueing

import (
	"slices"

	"cactusknot.example/daemon/balance"
)

// chooser returns the index of the server for a request, or -1.
type chooser func(r *router, q *request) int

// chooseBalanced is the choice under test.
func chooseBalanced(r *router, q *request) int {
	a, ok := r.current().Choose(r.random, r.cluster.loop.time(), balance.Request{
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

// candidates are the servers in service that were not tried yet, or all in
// service.
func candidates(r *router, q *request) []int {
	var fresh, all []int
	for i := range r.view {
		if !r.serving(i) {
			continue
		}
		all = append(all, i)
		if !slices.Contains(q.tried, r.view[i].VM) {
			fresh = append(fresh, i)
		}
	}
	if len(fresh) > 0 {
		return fresh
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
		r.next = (r.next + 1) % len(r.view)
		if slices.Contains(from, r.next) {
			return r.next
		}
	}
	return from[0]
}

// chooseLeastOutstanding takes the lowest load of the last background reports;
// ties are broken at random.
func chooseLeastOutstanding(r *router, q *request) int {
	from := candidates(r, q)
	if len(from) == 0 {
		return -1
	}
	r.random.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return slices.MinFunc(from, func(a, b int) int { return r.outstanding[a] - r.outstanding[b] })
}

// chooseOracle takes the least held requests for the engine's present speed, from
// the state at the moment of the choice. No router can know it; it bounds what a
// choice can reach.
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
