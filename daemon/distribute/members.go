package distribute

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// watchersPerDataCentre is how many routers of a data centre watch the store. A
// second one covers the failure of the first.
const watchersPerDataCentre = 2

// Member is a process that this one knows of.
type Member struct {
	Node       string
	DataCentre string
	Region     string
	// Router is false for agents.
	Router bool
	// Live is false while the process is leaving. It steers only the choice of
	// peers and watchers.
	Live bool
}

// Watchers returns the routers of the data centre that watch the store: the
// highest by rendezvous hash among the live ones. Processes that know different
// members may disagree, which costs a watch too many or a poll.
func Watchers(members []Member, dataCentre string) []string {
	type candidate struct {
		node  string
		score uint64
	}
	var all []candidate
	for _, m := range members {
		if m.Router && m.Live && m.DataCentre == dataCentre {
			all = append(all, candidate{m.Node, xxhash.Sum64String(dataCentre + "\x00" + m.Node)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	var out []string
	for _, c := range all[:min(len(all), watchersPerDataCentre)] {
		out = append(out, c.node)
	}
	return out
}

// others returns the other processes without a copy of the list.
func (s *Syncer) others() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		all := s.cfg.Network.Members()
		for i := range all {
			if all[i].Node != s.cfg.Self.Node && !yield(all[i]) {
				return
			}
		}
	}
}

// watching reports whether this process should watch the store.
func (s *Syncer) watching() bool {
	if !s.cfg.Self.Router {
		return false
	}
	all := append(slices.Collect(s.others()), s.cfg.Self)
	return slices.Contains(Watchers(all, s.cfg.Self.DataCentre), s.cfg.Self.Node)
}

// pick returns up to n random live routers that match.
func (s *Syncer) pick(n int, match func(Member) bool) []Member {
	var live []Member
	for m := range s.others() {
		if m.Router && m.Live && match(m) {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	s.shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

func anyMember(Member) bool { return true }
