package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the indices of the agents that a router uses, in ascending order.
// Each agent selects the routers with the highest rendezvous scores, so that every
// agent is used by the same number of routers. A router that was selected by fewer
// than half of size agents adds those with the highest scores up to that number. A
// router that joins or leaves changes the subsets of few others. With at most size
// agents the subset holds all of them. The running time is O(agents x routers).
func Subset(router string, routers, agents []string, size int) []int {
	if len(agents) <= size || len(routers) == 0 {
		return allIndices(agents)
	}
	perAgent := (len(routers)*size + len(agents) - 1) / len(agents)
	perAgent = min(perAgent, len(routers))
	scores := make([]scoredAgent, 0, len(agents))
	selected := make([]bool, len(agents))
	count := 0
	for i, agent := range agents {
		own := score(router, agent)
		scores = append(scores, scoredAgent{own, i})
		if rank(router, own, routers, agent) < perAgent {
			selected[i] = true
			count++
		}
	}
	slices.SortFunc(scores, func(a, b scoredAgent) int { return cmp.Compare(b.score, a.score) })
	for _, s := range scores {
		if count >= (size+1)/2 {
			break
		}
		if !selected[s.index] {
			selected[s.index] = true
			count++
		}
	}
	return selectedIndices(selected)
}

type scoredAgent struct {
	score uint64
	index int
}

// Rank returns how many of the other routers have a higher rendezvous score for the
// agent. All routers with the same list agree on the ranks.
func Rank(router string, routers []string, agent string) int {
	return rank(router, score(router, agent), routers, agent)
}

// rank counts the other routers that score higher for the agent.
func rank(router string, own uint64, routers []string, agent string) int {
	higher := 0
	for _, other := range routers {
		if other != router && score(other, agent) > own {
			higher++
		}
	}
	return higher
}

// score returns the rendezvous score of a router for an agent.
func score(router, agent string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(router)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(agent)
	return d.Sum64()
}

func allIndices(agents []string) []int {
	out := make([]int, len(agents))
	for i := range out {
		out[i] = i
	}
	return out
}

func selectedIndices(selected []bool) []int {
	var out []int
	for i, ok := range selected {
		if ok {
			out = append(out, i)
		}
	}
	return out
}
