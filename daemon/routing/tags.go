package routing

import (
	"errors"
	"strconv"
	"strings"
)

// ErrMalformedTags reports a kind field that Tags.Encode can't have produced.
var ErrMalformedTags = errors.New("routing: malformed kind field of a quality counter")

// ScoreBins is the number of score intervals: equal intervals of the rating of first
// answers, for which cascades keep separate counters.
const ScoreBins = 10

// NoBin marks tags without a score interval.
const NoBin = -1

// CounterKey identifies a quality counter; its fields are those of rpc.QualityCounter.
type CounterKey struct {
	Workspace string
	Model     string
	Version   string
	// Kind is the encoded Tags.
	Kind string
}

// Tags is the decoded kind field of a quality counter.
type Tags struct {
	// Kind is the kind of request. It holds neither ';' nor '='.
	Kind string
	// Rollout is "id/generation" for ratings that are evidence in a rollout. Both
	// versions start at zero with each generation, so that earlier ratings of a version
	// that is rolled out again, or ratings from another time of day, do not enter the
	// comparison.
	Rollout string
	// After is set for the second answer of a cascade: the model that answered first.
	// Bin then is the interval of the first answer's rating.
	After string
	// Bin is the score interval of the rating, or NoBin.
	Bin int
}

// BinOf returns the score interval of a rating.
func BinOf(rating float64) int {
	return max(0, min(ScoreBins-1, int(rating*ScoreBins)))
}

// FirstAnswerKey returns the key under which the rating of a first answer is counted.
func FirstAnswerKey(req *Request, d *Decision, rating float64) CounterKey {
	tags := Tags{Kind: req.Kind, Rollout: d.Rollout, Bin: BinOf(rating)}
	return CounterKey{Workspace: req.Workspace, Model: d.Model, Version: d.Version, Kind: tags.Encode()}
}

// SecondAnswerKey returns the key under which the rating of the second answer of a
// cascade is counted. first is the decision for the first answer, score its rating.
func SecondAnswerKey(req *Request, first, second *Decision, score float64) CounterKey {
	tags := Tags{Kind: req.Kind, Rollout: second.Rollout, After: first.Model, Bin: BinOf(score)}
	return CounterKey{Workspace: req.Workspace, Model: second.Model, Version: second.Version, Kind: tags.Encode()}
}

// Encode returns the kind field of a quality counter with the tags.
func (t Tags) Encode() string {
	var b strings.Builder
	b.WriteString(t.Kind)
	if t.Rollout != "" {
		b.WriteString(";rollout=" + t.Rollout)
	}
	if t.After != "" {
		b.WriteString(";after=" + t.After)
	}
	if t.Bin != NoBin {
		b.WriteString(";bin=" + strconv.Itoa(t.Bin))
	}
	return b.String()
}

// ParseTags decodes a kind field.
func ParseTags(s string) (Tags, error) {
	kind, rest, found := strings.Cut(s, ";")
	t := Tags{Kind: kind, Bin: NoBin}
	for found {
		var field string
		field, rest, found = strings.Cut(rest, ";")
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "rollout":
			t.Rollout = value
		case "after":
			t.After = value
		case "bin":
			bin, err := strconv.Atoi(value)
			if err != nil || bin < 0 || bin >= ScoreBins {
				return t, ErrMalformedTags
			}
			t.Bin = bin
		default:
			return t, ErrMalformedTags
		}
	}
	return t, nil
}

// rolloutTag returns the value of Tags.Rollout for a generation of a rollout.
func rolloutTag(id string, generation uint64) string {
	return id + "/" + strconv.FormatUint(generation, 10)
}
