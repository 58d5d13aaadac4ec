package routing

import (
	"path"

	"cactusknot.example/daemon/bundle"
)

// Authorise tells whether the workspace may use the model. If versionName is not empty,
// the workspace must also be allowed to use that version, and the version must accept
// new work. The result is ReasonNone, or the reason for the refusal.
func (s *Snapshot) Authorise(workspaceName, modelName, versionName string) Reason {
	w, ok := s.workspaces[workspaceName]
	if !ok {
		return ReasonUnknownWorkspace
	}
	a, reason := s.access(w, modelName)
	if reason != ReasonNone || versionName == "" {
		return reason
	}
	i, v := a.model.find(versionName)
	if v == nil {
		return ReasonUnknownVersion
	}
	return a.unusableReason(i)
}

func (s *Snapshot) access(w *workspace, modelName string) (*modelAccess, Reason) {
	if a, ok := w.models[modelName]; ok {
		return a, ReasonNone
	}
	if _, ok := s.models[modelName]; ok {
		return nil, ReasonNotAllowed
	}
	return nil, ReasonUnknownModel
}

// Allowed returns the versions that the workspace may use now. They are ordered by
// the model's price, and those of one model as in the bundle.
func (s *Snapshot) Allowed(workspaceName string) []Pin {
	w, ok := s.workspaces[workspaceName]
	if !ok {
		return nil
	}
	var out []Pin
	for _, a := range w.ordered {
		for i, v := range a.model.versions {
			if a.unusableReason(i) == ReasonNone {
				out = append(out, Pin{Model: a.model.cfg.Name, Version: v.name})
			}
		}
	}
	return out
}

// AuthoriseService returns the operation of the service that matches the call, or the
// reason why the workspace may not make the call.
func (s *Snapshot) AuthoriseService(workspaceName, service, method, callPath string) (*bundle.Operation, Reason) {
	w, ok := s.workspaces[workspaceName]
	if !ok {
		return nil, ReasonUnknownWorkspace
	}
	svc, ok := s.services[service]
	if !ok {
		return nil, ReasonUnknownService
	}
	if !w.services[service] {
		return nil, ReasonNotAllowed
	}
	for i := range svc.Operations {
		op := &svc.Operations[i]
		if matched, err := path.Match(op.Path, callPath); err == nil && matched && op.Method == method {
			return op, ReasonNone
		}
	}
	return nil, ReasonNotAllowed
}
