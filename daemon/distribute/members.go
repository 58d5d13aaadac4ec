package distribute

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// watchersPerDataCentre is the number of routers of a data centre that watch the
// store. The second one covers a failure of the first.
const watchersPerDataCentre = 2

// Member describes a known process.
type Member struct {
	Node       string
	DataCentre string
	Region     string
	// Router is false for agents.
	Router bool
	// Live is false while the process is leaving. It affects only the choice of peers
	// and watchers.
	Live bool
}

// Watchers returns the routers of the data centre that watch the store: the live
// ones with the highest rendezvous hash. Processes with different member lists may
// disagree, which costs an additional watch or a poll.
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

// otherMembers iterates over the other processes without copying the list.
func (s *Syncer) otherMembers() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		all := s.cfg.Network.Members()
		for i := range all {
			if all[i].Node != s.cfg.Self.Node && !yield(all[i]) {
				return
			}
		}
	}
}

// isWatcher reports whether this process should watch the store.
func (s *Syncer) isWatcher() bool {
	if !s.cfg.Self.Router {
		return false
	}
	all := append(slices.Collect(s.otherMembers()), s.cfg.Self)
	return slices.Contains(Watchers(all, s.cfg.Self.DataCentre), s.cfg.Self.Node)
}

// pickRouters returns up to n random live routers that match.
func (s *Syncer) pickRouters(n int, match func(Member) bool) []Member {
	var live []Member
	for m := range s.otherMembers() {
		if m.Router && m.Live && match(m) {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	s.shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

func anyMember(Member) bool { return true }
