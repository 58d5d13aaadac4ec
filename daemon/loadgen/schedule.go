package loadgen

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// plannedRequest is one request of the schedule. Equal seeds give equal requests.
type plannedRequest struct {
	number    uint64
	at        time.Duration // from the start of the run
	class     *Class
	workspace *Workspace
	target    string
	// session is empty for requests without a session.
	session string
	prompt  string
	// ref is unique in the run. Service calls send it in the body.
	ref string
}

// schedule generates the requests of a Poisson process.
type schedule struct {
	rng      *rand.Rand
	seed     uint64
	rate     float64
	targets  []string
	workload *Workload
	at       time.Duration
	number   uint64
}

func newSchedule(o *Options) *schedule {
	return &schedule{
		rng:      rand.New(rand.NewPCG(o.Seed, 1)),
		seed:     o.Seed,
		rate:     o.Rate,
		targets:  o.Targets,
		workload: &o.Workload,
	}
}

// next returns the next request.
func (s *schedule) next() plannedRequest {
	gap := s.rng.ExpFloat64() / s.rate
	s.at += time.Duration(gap * float64(time.Second))
	s.number++
	class := s.pickClass()
	p := plannedRequest{
		number:    s.number,
		at:        s.at,
		class:     class,
		workspace: s.pickWorkspace(class),
		target:    s.targets[s.rng.IntN(len(s.targets))],
		ref:       fmt.Sprintf("%d-%d", s.seed, s.number),
	}
	if c := class.Chat; c != nil {
		p.prompt = s.prompt(c, p.ref)
		if c.Sessions > 0 {
			p.session = fmt.Sprintf("%s/%s/%d", p.workspace.Name, class.Name, s.rng.IntN(c.Sessions))
		}
	}
	return p
}

func (s *schedule) pickClass() *Class {
	all := s.workload.Classes
	i := s.pickWeighted(len(all), func(i int) float64 { return all[i].Weight })
	return &all[i]
}

func (s *schedule) pickWorkspace(c *Class) *Workspace {
	all := s.workload.Workspaces
	i := s.pickWeighted(len(all), func(i int) float64 {
		if len(c.Workspaces) > 0 && !slices.Contains(c.Workspaces, all[i].Name) {
			return 0
		}
		return all[i].Weight
	})
	return &all[i]
}

// pickWeighted returns a random index below n. The probability of an index is
// proportional to its weight.
func (s *schedule) pickWeighted(n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := s.rng.Float64() * sum
	last := 0
	for i := range n {
		w := weight(i)
		if w == 0 {
			continue
		}
		last = i
		if x < w {
			return i
		}
		x -= w
	}
	return last
}

// prompt returns a prompt that is unique in the run, apart from its shared prefix.
func (s *schedule) prompt(c *Chat, ref string) string {
	size := c.PromptMin + s.rng.IntN(c.PromptMax-c.PromptMin+1)
	var b strings.Builder
	if c.Prefixes > 0 {
		b.WriteString(repeatToLength(fmt.Sprintf("prefix %d of %s. ", s.rng.IntN(c.Prefixes), c.Model), c.PrefixBytes))
	}
	b.WriteString("request " + ref + ". ")
	if rest := size - b.Len(); rest > 0 {
		b.WriteString(repeatToLength("write the note of the day. ", rest))
	}
	return b.String()
}

// repeatToLength repeats text to a length of n bytes.
func repeatToLength(text string, n int) string {
	return strings.Repeat(text, n/len(text)+1)[:n]
}
