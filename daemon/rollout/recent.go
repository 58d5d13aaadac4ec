package rollout

// recentAnswers is the number of answers of the target that count as the recent ones.
const recentAnswers = 3 * MinSamples / 2

// History remembers the growing counts of the target's answers, to tell the recent ones from those
// before: a version may turn bad late, or with its load. The zero value is ready for use.
type History struct {
	// counts are the earlier counts, the oldest first: the latest one that is recentAnswers or more
	// behind, and those after it.
	counts []Counts
}

// Recent records the counts and returns those of the recentAnswers latest answers or some more; of
// all if there are fewer.
func (h *History) Recent(now Counts) Counts {
	if n := len(h.counts); n > 0 && h.counts[n-1].Total() > now.Total() {
		// The evidence of a router is gone.
		h.counts = nil
	}
	h.counts = append(h.counts, now)
	for len(h.counts) > 1 && now.Total()-h.counts[1].Total() >= recentAnswers {
		h.counts = h.counts[1:]
	}
	before := h.counts[0]
	if now.Total()-before.Total() < recentAnswers {
		return now
	}
	return Counts{Good: max(0, now.Good-before.Good), Bad: max(0, now.Bad-before.Bad)}
}
