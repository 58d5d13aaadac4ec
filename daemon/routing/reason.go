package routing

import "cactusknot.example/daemon/result"

// Reason says why a decision was taken. Values are stable within a release; the
// text form is used in logs.
type Reason uint8

// Reasons of placements.
const (
	ReasonNone Reason = iota
	// ReasonRequested: the request named the version.
	ReasonRequested
	// ReasonPinned: the session keeps its version.
	ReasonPinned
	// ReasonMoved: the session's version takes no work and the workspace lets its
	// sessions move.
	ReasonMoved
	// ReasonCurrent: the version in force of the model.
	ReasonCurrent
	// ReasonCandidate: inside the share of a roll-out.
	ReasonCandidate
	// ReasonFallback: the version in force takes no work; another allowed version does.
	ReasonFallback
	// ReasonEscalated: the first answer of a cascade was rated below the threshold.
	ReasonEscalated
)

// Reasons of refusals and of candidates that were not chosen.
const (
	ReasonUnknownWorkspace Reason = iota + 32
	ReasonUnknownModel
	ReasonUnknownVersion
	ReasonUnknownService
	ReasonNotAllowed
	ReasonWithdrawn
	ReasonStopped
	ReasonSessionWorkspace
	ReasonSessionVersion
	ReasonNoVersion
	ReasonNoModel
	ReasonInvariant
	// ReasonOutsideShare: the roll-out's share does not cover the request.
	ReasonOutsideShare
	// ReasonMoreExpensive: a cheaper policy is proved to meet the target.
	ReasonMoreExpensive
	// ReasonNotProved: the lower confidence bound is below the target.
	ReasonNotProved
	// ReasonScoreSuffices: the first answer was rated at or above the threshold.
	ReasonScoreSuffices
	// ReasonDeadline: the deadline leaves no time for a second answer.
	ReasonDeadline
	// ReasonRatingUnavailable: the rating service does not answer.
	ReasonRatingUnavailable
	// ReasonNoCascade: the placement has no second step.
	ReasonNoCascade
	// ReasonOther: another candidate was chosen before this one.
	ReasonOther
)

var reasonNames = map[Reason]string{
	ReasonNone:              "none",
	ReasonRequested:         "requested",
	ReasonPinned:            "pinned",
	ReasonMoved:             "moved",
	ReasonCurrent:           "current",
	ReasonCandidate:         "candidate",
	ReasonFallback:          "fallback",
	ReasonEscalated:         "escalated",
	ReasonUnknownWorkspace:  "unknown_workspace",
	ReasonUnknownModel:      "unknown_model",
	ReasonUnknownVersion:    "unknown_version",
	ReasonUnknownService:    "unknown_service",
	ReasonNotAllowed:        "not_allowed",
	ReasonWithdrawn:         "withdrawn",
	ReasonStopped:           "stopped",
	ReasonSessionWorkspace:  "session_of_other_workspace",
	ReasonSessionVersion:    "session_has_other_version",
	ReasonNoVersion:         "no_version",
	ReasonNoModel:           "no_model",
	ReasonInvariant:         "invariant",
	ReasonOutsideShare:      "outside_share",
	ReasonMoreExpensive:     "dearer",
	ReasonNotProved:         "not_proved",
	ReasonScoreSuffices:     "score_suffices",
	ReasonDeadline:          "deadline",
	ReasonRatingUnavailable: "rating_down",
	ReasonNoCascade:         "no_cascade",
	ReasonOther:             "other_chosen",
}

// String returns the name of the reason in logs.
func (r Reason) String() string { return reasonNames[r] }

// Code returns the result code of a refusal with this reason.
func (r Reason) Code() result.Code {
	switch r {
	case ReasonUnknownWorkspace:
		return result.Unauthenticated
	case ReasonUnknownModel, ReasonUnknownVersion, ReasonUnknownService:
		return result.UnknownModel
	case ReasonNotAllowed:
		return result.NotAllowed
	case ReasonWithdrawn, ReasonStopped, ReasonNoVersion, ReasonNoModel:
		return result.VersionWithdrawn
	case ReasonSessionWorkspace, ReasonSessionVersion:
		return result.BadSession
	default:
		return result.Internal
	}
}
