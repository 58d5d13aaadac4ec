package routing

import (
	"errors"
	"strconv"
	"strings"
)

// ErrMalformedTags reports a kind field that Tags.Encode cannot have produced.
var ErrMalformedTags = errors.New("routing: malformed kind field of a quality counter")

// ScoreBins is the number of equal intervals of the first answer's rating for
// which cascades keep separate counters.
const ScoreBins = 10

// NoBin marks tags without a score interval.
const NoBin = -1

// CounterKey identifies ratings; its fields are those of rpc.QualityCounter.
type CounterKey struct {
	Workspace string
	Model     string
	Version   string
	// Kind is the encoded Tags.
	Kind string
}

// Tags is the content of the kind field of a quality counter.
type Tags struct {
	// Kind is the kind of request. It holds neither ';' nor '='.
	Kind string
	// Rollout is "id/generation" for evidence in a roll-out. Both versions start
	// at zero with each generation, so neither old ratings of a version that is
	// rolled out again nor other times of day enter the comparison.
	Rollout string
	// After is the model that answered first when the answer is the second of a
	// cascade; Bin then is the interval of the first answer's rating.
	After string
	// Bin is the interval of the rating, or NoBin.
	Bin int
}

// BinOf returns the interval of a rating.
func BinOf(rating float64) int {
	return max(0, min(ScoreBins-1, int(rating*ScoreBins)))
}

// FirstAnswerKey returns the key under which the first answer's rating is counted.
func FirstAnswerKey(req *Request, d *Decision, rating float64) CounterKey {
	tags := Tags{Kind: req.Kind, Rollout: d.Rollout, Bin: BinOf(rating)}
	return CounterKey{Workspace: req.Workspace, Model: d.Model, Version: d.Version, Kind: tags.Encode()}
}

// SecondAnswerKey returns the key of the second answer's rating, where first is the
// decision that gave the first answer and score that answer's rating.
func SecondAnswerKey(req *Request, first, second *Decision, score float64) CounterKey {
	tags := Tags{Kind: req.Kind, Rollout: second.Rollout, After: first.Model, Bin: BinOf(score)}
	return CounterKey{Workspace: req.Workspace, Model: second.Model, Version: second.Version, Kind: tags.Encode()}
}

// Encode returns the text form of the tags.
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

// ParseTags reads the text form.
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

func rolloutTag(id string, generation uint64) string {
	return id + "/" + strconv.FormatUint(generation, 10)
}
