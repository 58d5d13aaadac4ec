package router

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"cactusknot.example/daemon/routing"
)

// explanation is the response body of GET /admin/explain about a request that has
// not been made.
type explanation struct {
	BundleVersion uint64            `json:"bundle_version"`
	Target        string            `json:"target"`
	Reason        string            `json:"reason"`
	Refused       bool              `json:"refused"`
	Models        []explainedModel  `json:"models,omitempty"`
	Servers       []explainedServer `json:"servers"`
}

type explainedModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Chosen  bool   `json:"chosen"`
	Reason  string `json:"reason"`
}

type explainedServer struct {
	VM         string  `json:"vm"`
	DataCentre string  `json:"data_centre"`
	Reason     string  `json:"reason"`
	Load       float64 `json:"load"`
	CostMs     float64 `json:"cost_ms"`
	AgeMs      int64   `json:"age_ms"`
}

// serveExplain serves GET /admin/explain: the recorded decisions about a past
// request if request_id is set, otherwise the decision that a request would get now.
func (r *Router) serveExplain(c echo.Context) error {
	if id := c.QueryParam("request_id"); id != "" {
		past := r.history.find(id)
		if len(past) == 0 {
			return c.String(http.StatusNotFound, "this router has no decision about the request in memory\n")
		}
		return c.JSON(http.StatusOK, past)
	}
	v := r.view.Load()
	if v.current == nil {
		return c.String(http.StatusServiceUnavailable, "no configuration\n")
	}
	if service := c.QueryParam("service"); service != "" {
		return c.JSON(http.StatusOK, r.explainService(c, v, service))
	}
	return c.JSON(http.StatusOK, r.explainModel(c, v))
}

func (r *Router) explainModel(c echo.Context, v *view) explanation {
	model, version, _ := strings.Cut(c.QueryParam("model"), "@")
	request := routing.Request{Workspace: c.QueryParam("workspace"), Model: model, Version: version, Kind: c.QueryParam("kind")}
	if request.Model == "" {
		request.Model = routing.AutoModel
	}
	if id := c.QueryParam("session"); id != "" {
		request.Session = &routing.Session{ID: id, Workspace: request.Workspace}
	}
	why := v.routes.Explain(&request)
	out := explanation{
		BundleVersion: v.version(),
		Target:        why.Decision.Model + "@" + why.Decision.Version,
		Reason:        why.Decision.Reason.String(),
		Refused:       why.Decision.Refused,
	}
	for _, candidate := range why.Candidates {
		out.Models = append(out.Models, explainedModel{candidate.Model, candidate.Version, candidate.Chosen, candidate.Reason.String()})
	}
	out.Servers = r.explainServers(out.Target)
	return out
}

func (r *Router) explainService(c echo.Context, v *view, service string) explanation {
	_, reason := v.routes.AuthoriseService(c.QueryParam("workspace"), service, c.QueryParam("method"), c.QueryParam("path"))
	return explanation{
		BundleVersion: v.version(),
		Target:        service,
		Reason:        reason.String(),
		Refused:       reason != routing.ReasonNone,
		Servers:       r.explainServers(service),
	}
}

func (r *Router) explainServers(target string) []explainedServer {
	out := []explainedServer{}
	for _, s := range r.candidates(&job{target: target}) {
		out = append(out, explainedServer{s.VM, s.DataCentre, s.Reason, s.Load, s.CostMS, s.Age.Milliseconds()})
	}
	return out
}
