package queueing

import (
	"math"
	"math/rand/v2"
	"time"
)

// EngineModel is the service model of one engine.
type EngineModel struct {
	// The duration of a batch step is BaseStep plus StepPerSequence for each
	// decoding sequence and StepPerPrefillToken for each prompt token processed.
	BaseStep            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
	// PrefillPerStep is the maximum number of prompt tokens processed in one step.
	PrefillPerStep int
	// BatchLimit is the maximum number of sequences in the batch; others wait.
	BatchLimit int
	// MaxHeld is the maximum number of waiting and running requests; above it the
	// engine crashes.
	MaxHeld int
	// PrefixCapacity is the number of prefixes in the LRU prefix cache.
	PrefixCapacity int
	// ColdSlowdown multiplies the step duration after a start; it decreases linearly
	// to 1 over ColdCompletions completed requests.
	ColdSlowdown    float64
	ColdCompletions int
	// ColdHeld replaces MaxHeld after a start; the maximum grows by 1 per completed
	// request up to MaxHeld.
	ColdHeld int
	// Restart is the time from an overload crash to the next start.
	Restart time.Duration
}

// DefaultEngine returns the engine model of the published figures. It reaches
// 56 ms between tokens only well above the batch limit, in line with section 1.4
// of the design.
func DefaultEngine() EngineModel {
	return EngineModel{
		BaseStep:            18 * time.Millisecond,
		StepPerSequence:     500 * time.Microsecond,
		StepPerPrefillToken: 60 * time.Microsecond,
		PrefillPerStep:      1024,
		BatchLimit:          32,
		MaxHeld:             48,
		PrefixCapacity:      24,
		ColdSlowdown:        4,
		ColdCompletions:     60,
		ColdHeld:            6,
		Restart:             20 * time.Second,
	}
}

// Workload describes the distribution of requests.
type Workload struct {
	// Prefixes is the number of shared prompt prefixes, which are drawn from a Zipf
	// distribution.
	Prefixes     int
	PrefixTokens int
	// PromptMean and AnswerMean are the means of the log-normal lengths in tokens,
	// LengthSigma is the standard deviation of their logarithm, and AnswerMax is the
	// maximum answer length.
	PromptMean  float64
	AnswerMean  float64
	LengthSigma float64
	AnswerMax   int
	// Deadline is the maximum time from arrival to the complete answer.
	Deadline time.Duration
	// FirstTokenTimeout is the time after which an attempt without a first token is
	// cancelled.
	FirstTokenTimeout time.Duration
}

// DefaultWorkload returns the workload of the published figures.
func DefaultWorkload() Workload {
	return Workload{
		Prefixes:          40,
		PrefixTokens:      512,
		PromptMean:        200,
		AnswerMean:        80,
		LengthSigma:       0.6,
		AnswerMax:         200,
		Deadline:          15 * time.Second,
		FirstTokenTimeout: 4 * time.Second,
	}
}

// Deployment describes the size and the network of an installation.
type Deployment struct {
	Name        string
	DataCentres int
	Engines     int
	Routers     int
	// LocalDelay and RegionalDelay are the one-way network delays within a data
	// centre and between data centres.
	LocalDelay    time.Duration
	RegionalDelay time.Duration
}

// CoOp returns the ticket sales deployment: three data centres less than 1 ms
// apart.
func CoOp() Deployment {
	return Deployment{
		Name: "co-op", DataCentres: 3, Engines: 12, Routers: 24,
		LocalDelay: 100 * time.Microsecond, RegionalDelay: 400 * time.Microsecond,
	}
}

// Creches returns the deployment of a chain of creches: four data centres 1.5 ms
// apart.
func Creches() Deployment {
	return Deployment{
		Name: "creches", DataCentres: 4, Engines: 18, Routers: 24,
		LocalDelay: 100 * time.Microsecond, RegionalDelay: 1500 * time.Microsecond,
	}
}

// lengths holds the shared prefix of a request and its prompt and answer lengths
// in tokens.
type lengths struct {
	prefix uint64
	prompt int
	answer int
}

type generator struct {
	workload Workload
	random   *rand.Rand
	zipf     *rand.Zipf
}

func newGenerator(w Workload, random *rand.Rand) *generator {
	const zipfExponent = 1.1
	return &generator{
		workload: w,
		random:   random,
		zipf:     rand.NewZipf(random, zipfExponent, 1, uint64(w.Prefixes-1)),
	}
}

func (g *generator) next() lengths {
	w := g.workload
	return lengths{
		prefix: g.zipf.Uint64() + 1,
		prompt: w.PrefixTokens + max(int(g.logNormal(w.PromptMean)), 1),
		answer: min(max(int(g.logNormal(w.AnswerMean)), 1), w.AnswerMax),
	}
}

// logNormal draws from the log-normal distribution with the given mean and
// LengthSigma.
func (g *generator) logNormal(mean float64) float64 {
	sigma := g.workload.LengthSigma
	mu := math.Log(mean) - sigma*sigma/2
	return math.Exp(mu + sigma*g.random.NormFloat64())
}

func newRandom(seed uint64, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}
