package balance

import (
	"slices"
	"time"

	"cactusknot.example/coord/invariant"
)

// InvariantExcludedChosen counts choices of an excluded, leaving or out-of-service
// agent, which must not happen.
const InvariantExcludedChosen invariant.Name = "excluded_chosen"

// Config sets the parameters of the choice. Zero values select the defaults.
type Config struct {
	// Choices is the number of random candidates that are compared.
	Choices int
	// ReportHalfLife is the age at which a report and the mean of the candidates have
	// equal weight in the estimated load.
	ReportHalfLife time.Duration
	// DistanceMS is the cost of each distance in ms.
	DistanceMS [3]float64
	// AffinityMaxLoad is the estimated load (requests over limit) up to which an agent
	// is preferred because it has the prefix cached.
	AffinityMaxLoad float64
	// AffinityCostFactor is the factor on the cost of an agent that has the prefix
	// cached.
	AffinityCostFactor float64
	// Check counts violations of InvariantExcludedChosen; it may be nil.
	Check *invariant.Checker
}

// Defaults of Config.
const (
	// DefaultChoices is derived in docs/decisions/load-and-limits.md.
	DefaultChoices            = 2
	DefaultReportHalfLife     = 2 * time.Second
	DefaultAffinityMaxLoad    = 0.8
	DefaultAffinityCostFactor = 0.7
)

// defaultDistanceMS holds the round-trip times within a data centre, between data
// centres of a region and between regions.
var defaultDistanceMS = [3]float64{0.2, 1.5, 80}

func (c Config) withDefaults() Config {
	if c.Choices == 0 {
		c.Choices = DefaultChoices
	}
	if c.ReportHalfLife == 0 {
		c.ReportHalfLife = DefaultReportHalfLife
	}
	if c.DistanceMS == [3]float64{} {
		c.DistanceMS = defaultDistanceMS
	}
	if c.AffinityMaxLoad == 0 {
		c.AffinityMaxLoad = DefaultAffinityMaxLoad
	}
	if c.AffinityCostFactor == 0 {
		c.AffinityCostFactor = DefaultAffinityCostFactor
	}
	return c
}

// Snapshot is an immutable set of agents, indexed by target. It is safe for concurrent
// use.
type Snapshot struct {
	cfg       Config
	agents    []Agent
	exclusion Exclusion
	pools     map[string]*pool
}

// pool holds the candidates of one target.
type pool struct {
	// near are the candidates of the router's region, far those of other regions, as
	// indices into Snapshot.agents.
	near []int32
	far  []int32
	// meanLoad is the mean reported load of the near candidates.
	meanLoad float64
	// medianFirstTokenMS is the median reported first-token time of the near candidates.
	medianFirstTokenMS float64
	// medianIntervalMS is the median reported time between tokens of the near candidates;
	// 0 when none reports it.
	medianIntervalMS float64
}

// NewSnapshot indexes the agents by target. It keeps references to agents and
// exclusion, which must not change afterwards.
func NewSnapshot(cfg Config, agents []Agent, exclusion Exclusion) *Snapshot {
	s := &Snapshot{
		cfg:       cfg.withDefaults(),
		agents:    agents,
		exclusion: exclusion,
		pools:     make(map[string]*pool),
	}
	for i := range agents {
		if s.eligible(&agents[i]) {
			s.index(int32(i))
		}
	}
	for _, p := range s.pools {
		s.computeStats(p)
	}
	return s
}

// eligible tells whether an agent may get new requests.
func (s *Snapshot) eligible(a *Agent) bool {
	return acceptsWork(a.Phase) && !s.exclusion.excludes(a)
}

func (s *Snapshot) index(i int32) {
	a := &s.agents[i]
	for _, target := range a.Targets {
		p := s.pools[target]
		if p == nil {
			p = &pool{}
			s.pools[target] = p
		}
		if a.Distance >= OtherRegion {
			p.far = append(p.far, i)
			continue
		}
		p.near = append(p.near, i)
	}
}

// computeStats computes the means and medians of the pool's near candidates.
func (s *Snapshot) computeStats(p *pool) {
	var load float64
	var times, intervals []float64
	for _, i := range p.near {
		a := &s.agents[i]
		load += reportedLoad(a)
		if a.FirstTokenMS > 0 {
			times = append(times, a.FirstTokenMS)
		}
		if a.TokenIntervalMS > 0 {
			intervals = append(intervals, a.TokenIntervalMS)
		}
	}
	p.meanLoad = load / float64(max(len(p.near), 1))
	p.medianFirstTokenMS = 1
	if len(times) > 0 {
		p.medianFirstTokenMS = median(times)
	}
	if len(intervals) > 0 {
		p.medianIntervalMS = median(intervals)
	}
}

// median sorts the values in place and returns the upper median.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

func reportedLoad(a *Agent) float64 {
	if a.Limit <= 0 {
		return 1
	}
	return float64(a.Limit-a.Free) / float64(a.Limit)
}

// Agents returns the agents of the snapshot, which must not be changed.
func (s *Snapshot) Agents() []Agent { return s.agents }
