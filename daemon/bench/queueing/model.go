package queueing

import (
	"math"
	"math/rand/v2"
	"time"
)

// EngineModel is the service model of one engine.
type EngineModel struct {
	// BaseStep, StepPerSequence and StepPerPrefillToken give the duration of one
	// step of the batch.
	BaseStep            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
	// PrefillPerStep bounds the prompt tokens processed in one step.
	PrefillPerStep int
	// BatchLimit bounds the sequences in the batch; others wait.
	BatchLimit int
	// MaxHeld is the number of held requests above which the engine falls over.
	MaxHeld int
	// PrefixCapacity is the number of prefixes in the prefix cache (LRU).
	PrefixCapacity int
	// ColdSlowdown is the factor on all steps after a start; it falls linearly to 1
	// over ColdCompletions completed requests.
	ColdSlowdown    float64
	ColdCompletions int
	// ColdHeld is MaxHeld after a start; it grows by 1 per completed request.
	ColdHeld int
	// Restart is the time from falling over to the next start.
	Restart time.Duration
}

// DefaultEngine is the stated model: 56 ms between tokens is reached well above
// the batch limit, in line with section 1.4 of the design.
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

// Workload is the mix of requests.
type Workload struct {
	// Prefixes is the number of shared prompt prefixes, drawn by Zipf's law.
	Prefixes     int
	PrefixTokens int
	// PromptMean and AnswerMean are the means of log-normal lengths in tokens,
	// with the sigma of the logarithm; AnswerMax bounds answers.
	PromptMean  float64
	AnswerMean  float64
	LengthSigma float64
	AnswerMax   int
	// Deadline is the time from arrival within which the answer must be complete.
	Deadline time.Duration
	// FirstTokenTimeout ends an attempt without a first token.
	FirstTokenTimeout time.Duration
}

// DefaultWorkload is the stated mix.
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

// Deployment is the size and the network of an installation.
type Deployment struct {
	Name        string
	DataCentres int
	Engines     int
	Routers     int
	// Local and Regional are one-way delays within and between data centres.
	Local    time.Duration
	Regional time.Duration
}

// CoOp is the ticket sale: three data centres less than 1 ms apart.
func CoOp() Deployment {
	return Deployment{
		Name: "co-op", DataCentres: 3, Engines: 12, Routers: 24,
		Local: 100 * time.Microsecond, Regional: 400 * time.Microsecond,
	}
}

// Creches is the chain of creches: four data centres 1.5 ms apart.
func Creches() Deployment {
	return Deployment{
		Name: "creches", DataCentres: 4, Engines: 18, Routers: 24,
		Local: 100 * time.Microsecond, Regional: 1500 * time.Microsecond,
	}
}

// lengths draws the lengths of one request.
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

// logNormal draws from the log-normal distribution with the given mean.
func (g *generator) logNormal(mean float64) float64 {
	sigma := g.workload.LengthSigma
	mu := math.Log(mean) - sigma*sigma/2
	return math.Exp(mu + sigma*g.random.NormFloat64())
}

func newRandom(seed uint64, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}
