package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the indices of the agents that a router uses, in ascending
// order. Each agent takes the routers with the highest rendezvous scores, so all
// agents are used by the same number of routers; a router that few agents took
// adds the agents with the highest scores up to half of size. A router that comes
// or goes changes the subsets of few others. With at most size agents the subset
// is all of them. The cost is O(agents x routers).
func Subset(router string, routers, agents []string, size int) []int {
	if len(agents) <= size || len(routers) == 0 {
		return allOf(agents)
	}
	perAgent := (len(routers)*size + len(agents) - 1) / len(agents)
	perAgent = min(perAgent, len(routers))
	own := make([]scored, 0, len(agents))
	taken := make([]bool, len(agents))
	count := 0
	for i, agent := range agents {
		mine := score(router, agent)
		own = append(own, scored{mine, i})
		if rank(router, mine, routers, agent) < perAgent {
			taken[i] = true
			count++
		}
	}
	slices.SortFunc(own, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	for _, o := range own {
		if count >= (size+1)/2 {
			break
		}
		if !taken[o.index] {
			taken[o.index] = true
			count++
		}
	}
	return indices(taken)
}

type scored struct {
	score uint64
	index int
}

// Rank returns how many of the other routers have a higher rendezvous score for
// the agent. The routers with the lowest ranks are the same in the view of all.
func Rank(router string, routers []string, agent string) int {
	return rank(router, score(router, agent), routers, agent)
}

// rank counts the other routers that score higher for the agent.
func rank(router string, mine uint64, routers []string, agent string) int {
	higher := 0
	for _, other := range routers {
		if other != router && score(other, agent) > mine {
			higher++
		}
	}
	return higher
}

func score(router, agent string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(router)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(agent)
	return d.Sum64()
}

func allOf(agents []string) []int {
	out := make([]int, len(agents))
	for i := range out {
		out[i] = i
	}
	return out
}

func indices(taken []bool) []int {
	var out []int
	for i, t := range taken {
		if t {
			out = append(out, i)
		}
	}
	return out
}
