package bench

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"

	"cactusknot.example/daemon/bundle"
)

//go:embed workloads/*.json
var workloadFiles embed.FS

// deployments lists the names of the workload files in the order of reports.
var deployments = []string{"coop", "creches"}

// Workload describes a deployment's synthetic traffic and answer quality. The
// true score of an answer is logistic(slope * (strength - difficulty)) plus
// normal noise; a rating is the score plus normal noise. Both are clamped to
// [0,1].
type Workload struct {
	Name        string `json:"name"`
	Description string `json:"description"`
	Routers     int    `json:"routers"`

	RequestsPerSecond int     `json:"requests_per_second"`
	SessionShare      float64 `json:"session_share"`
	// SessionRequests is the mean number of requests of a session.
	SessionRequests float64 `json:"session_requests"`

	// RatedShare is the share of answers outside cascades that are rated.
	RatedShare         float64 `json:"rated_share"`
	RatingDelaySeconds int     `json:"rating_delay_seconds"`
	// SyncSeconds is the interval at which routers exchange counters and notices.
	SyncSeconds int `json:"sync_seconds"`

	Slope      float64 `json:"slope"`
	ScoreNoise float64 `json:"score_noise"`
	RaterNoise float64 `json:"rater_noise"`

	Models     []WorkloadModel     `json:"models"`
	Kinds      []WorkloadKind      `json:"kinds"`
	Workspaces []WorkloadWorkspace `json:"workspaces"`
	Rollout    WorkloadRollout     `json:"rollout"`
}

// WorkloadModel describes a model. Workload files list models by increasing
// price.
type WorkloadModel struct {
	Name        string  `json:"name"`
	InputPrice  uint64  `json:"input_price"`
	OutputPrice uint64  `json:"output_price"`
	Strength    float64 `json:"strength"`
	Engines     int     `json:"engines"`
}

// WorkloadKind is a kind of request. Its difficulty is drawn from a mixture of
// two normal distributions with the means Easy and Hard.
type WorkloadKind struct {
	Name         string  `json:"name"`
	Share        float64 `json:"share"`
	HardShare    float64 `json:"hard_share"`
	Easy         float64 `json:"easy"`
	Hard         float64 `json:"hard"`
	Spread       float64 `json:"spread"`
	InputTokens  float64 `json:"input_tokens"`
	OutputTokens float64 `json:"output_tokens"`
}

// WorkloadWorkspace is a workspace with its share of the traffic.
type WorkloadWorkspace struct {
	Name            string  `json:"name"`
	Share           float64 `json:"share"`
	QualityTarget   float64 `json:"quality_target"`
	DifficultyShift float64 `json:"difficulty_shift"`
}

// WorkloadRollout describes the rollouts of the exposure scenario. Each of
// FailureShares is the share of a bad version's answers that get FailureScore.
type WorkloadRollout struct {
	Model          string    `json:"model"`
	Steps          []float64 `json:"steps"`
	RatingsPerStep uint64    `json:"ratings_per_step"`
	HorizonSeconds int       `json:"horizon_seconds"`
	// TimerSeconds is the time per step of the timer-based rollout;
	// OperatorSeconds is the time until operators halt it.
	TimerSeconds    int       `json:"timer_seconds"`
	OperatorSeconds int       `json:"operator_seconds"`
	FailureShares   []float64 `json:"failure_shares"`
	FailureScore    float64   `json:"failure_score"`
}

// loadWorkloads returns the workloads of the deployments selected by the
// options.
func loadWorkloads(o Options) ([]*Workload, error) {
	var out []*Workload
	for _, name := range deployments {
		if o.Deployment != "" && o.Deployment != name {
			continue
		}
		w, err := loadWorkload(name)
		if err != nil {
			return nil, err
		}
		out = append(out, w)
	}
	return out, nil
}

func loadWorkload(name string) (*Workload, error) {
	data, err := workloadFiles.ReadFile("workloads/" + name + ".json")
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	w := &Workload{}
	if err := decoder.Decode(w); err != nil {
		return nil, fmt.Errorf("workload %s: %w", name, err)
	}
	return w, nil
}

// bundle returns the deployment's configuration without rollouts.
func (w *Workload) bundle() *bundle.Bundle {
	b := &bundle.Bundle{}
	var names []string
	for _, m := range w.Models {
		names = append(names, m.Name)
		b.Models = append(b.Models, bundle.Model{
			Name: m.Name, Current: "1", InputPrice: m.InputPrice, OutputPrice: m.OutputPrice,
			Versions: []bundle.Version{{Name: "1", State: bundle.VersionServing}},
		})
	}
	for _, ws := range w.Workspaces {
		b.Workspaces = append(b.Workspaces, bundle.Workspace{
			Name: ws.Name, Allowed: names, QualityTarget: ws.QualityTarget,
			OnWithdrawal: bundle.WithdrawalMove, ExploreShare: exploreShare,
		})
	}
	return b
}

// answer is the answer that a model would give to a request.
type answer struct {
	score  float64
	rating float64
	// cost is in millionths of the billing currency.
	cost float64
}

// syntheticRequest is a request with the answers of all models.
type syntheticRequest struct {
	workspace int
	kind      int
	answers   [maxModels]answer
}

const (
	maxModels    = 4
	exploreShare = 0.1
	tokenSpread  = 0.3 // standard deviation of token counts relative to their mean
)

// drawRequest draws a request and the answers of all models to it.
func (w *Workload) drawRequest(rng *rand.Rand) syntheticRequest {
	d := syntheticRequest{workspace: w.drawWorkspace(rng), kind: w.drawKind(rng)}
	kind := &w.Kinds[d.kind]
	difficulty := kind.Easy
	if rng.Float64() < kind.HardShare {
		difficulty = kind.Hard
	}
	difficulty += w.Workspaces[d.workspace].DifficultyShift + kind.Spread*rng.NormFloat64()
	input := kind.InputTokens * math.Max(0.1, 1+tokenSpread*rng.NormFloat64())
	output := kind.OutputTokens * math.Max(0.1, 1+tokenSpread*rng.NormFloat64())
	for i, m := range w.Models {
		score := clampScore(1/(1+math.Exp(w.Slope*(difficulty-m.Strength))) + w.ScoreNoise*rng.NormFloat64())
		d.answers[i] = answer{
			score:  score,
			rating: clampScore(score + w.RaterNoise*rng.NormFloat64()),
			cost:   (input*float64(m.InputPrice) + output*float64(m.OutputPrice)) / 1e6,
		}
	}
	return d
}

func clampScore(x float64) float64 { return math.Max(0, math.Min(1, x)) }

func (w *Workload) drawWorkspace(rng *rand.Rand) int {
	u := rng.Float64()
	for i := range w.Workspaces {
		if u -= w.Workspaces[i].Share; u < 0 {
			return i
		}
	}
	return len(w.Workspaces) - 1
}

func (w *Workload) drawKind(rng *rand.Rand) int {
	u := rng.Float64()
	for i := range w.Kinds {
		if u -= w.Kinds[i].Share; u < 0 {
			return i
		}
	}
	return len(w.Kinds) - 1
}

func (w *Workload) modelIndex(name string) int {
	for i := range w.Models {
		if w.Models[i].Name == name {
			return i
		}
	}
	return -1
}
