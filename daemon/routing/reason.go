package routing

import "cactusknot.example/daemon/result"

// Reason says why a decision was made. The numbers are stable only within a release;
// logs use the names.
type Reason uint8

// Reasons of placements.
const (
	ReasonNone Reason = iota
	// ReasonRequested: the request named the version.
	ReasonRequested
	// ReasonPinned: the session keeps its version.
	ReasonPinned
	// ReasonMoved: the session's version accepts no work and the workspace lets its
	// sessions move.
	ReasonMoved
	// ReasonCurrent: the current version of the model.
	ReasonCurrent
	// ReasonCandidate: the request is inside the share of a rollout.
	ReasonCandidate
	// ReasonFallback: the current version accepts no work, but another one does.
	ReasonFallback
	// ReasonEscalated: the first answer of a cascade was rated too low and is replaced.
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
	// ReasonOutsideShare: the request is outside the share of the rollout.
	ReasonOutsideShare
	// ReasonMoreExpensive: a cheaper policy is proved to meet the target.
	ReasonMoreExpensive
	// ReasonNotProved: the lower confidence bound of the policy is below the target.
	ReasonNotProved
	// ReasonScoreSuffices: the first answer was rated high enough to be kept.
	ReasonScoreSuffices
	// ReasonDeadline: a second answer is not expected before the deadline.
	ReasonDeadline
	// ReasonRatingUnavailable: the rating service does not answer.
	ReasonRatingUnavailable
	// ReasonNoCascade: the policy is not a cascade.
	ReasonNoCascade
	// ReasonOther: another candidate was preferred.
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

// String returns the name that logs use.
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
