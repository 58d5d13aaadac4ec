package edge

import (
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/topology"
)

// restoredOrder tells whether an order of a newer era is no new one: it is the current order,
// or the one that the current one has replaced, as the restored copy holds it.
func (s *serviceRollout) restoredOrder(order *topology.RolloutOrder, at kv.Position) bool {
	if at.Era <= s.orderAt.Era {
		return false
	}
	if s.order.Same(order) {
		s.orderAt = at
		return true
	}
	return s.replaced != nil && s.replaced.Same(order) && s.replacedAt.Revision == at.Revision
}

// adoptOrderID takes over the identity of an order that was first seen in an earlier era of
// the store, if the stored state is about the same target and this router has seen no other
// order in the present era.
func (r *rollouts) adoptOrderID(s *serviceRollout) {
	if s.order == nil || s.state.Target != s.order.Target || s.state.Order().Era >= s.orderID.Era || s.replacedAt.Era == s.orderID.Era {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if own := r.ownEvidence[s.order.Service]; own != nil && own.Order == s.orderID {
		own.Order = s.state.Order()
	}
	s.orderID = s.state.Order()
}

// lostState tells whether the store has lost the state that this router knows. state is what
// the store holds now, empty for nothing.
func (s *serviceRollout) lostState(state rollout.State, era uint64) bool {
	if state.Target == "" || state.Order() != s.state.Order() {
		return era > s.stateEra && state.Before(s.state)
	}
	return state.Before(s.state)
}
