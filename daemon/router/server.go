package router

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/secure"
)

// publicHandler serves callers.
func (r *Router) publicHandler() http.Handler {
	e := node.NewEcho()
	e.POST("/v1/chat/completions", wrap(r.serveChat))
	e.GET("/v1/models", wrap(r.serveModels))
	e.Any(servicePrefix+"*", wrap(r.serveService))
	e.POST("/v1/idempotency-keys", wrap(r.serveNewKey))
	e.GET("/readyz", func(c echo.Context) error {
		if !r.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
	e.RouteNotFound("/*", wrap(func(w http.ResponseWriter, request *http.Request) {
		r.answerError(&call{writer: w, request: request}, result.NotFound.With("%s", request.URL.Path))
	}))
	return e
}

func wrap(h http.HandlerFunc) echo.HandlerFunc { return echo.WrapHandler(h) }

// internalHandler serves other processes.
func (r *Router) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(rpc.PeerPathPrefix, r.PeerHandler())
	mux.Handle(rpc.LedgerPathPrefix, secure.RequireIdentity(rpc.NewLedgerServer(r.LocalLedger)))
	return mux
}

// adminHandler serves operators.
func (r *Router) adminHandler() http.Handler {
	e := r.AdminHandler()
	e.GET("/admin/explain", r.serveExplain)
	return e
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (r *Router) serveModels(w http.ResponseWriter, request *http.Request) {
	r.serveCall(w, request, pipe{{"authenticate", r.authenticate}, {"models", r.listModels}}, nil)
}

// listModels answers with the versions that the workspace may use now.
func (r *Router) listModels(_ context.Context, c *call) *result.Error {
	list := modelList{Object: "list"}
	for _, pin := range c.view.routes.Allowed(c.workspace.Name) {
		list.Data = append(list.Data, modelEntry{ID: pin.Model + "@" + pin.Version, Object: "model", OwnedBy: "cactusknot"})
	}
	return writeJSON(c.writer, http.StatusOK, list)
}

func (r *Router) serveNewKey(w http.ResponseWriter, request *http.Request) {
	r.serveCall(w, request, pipe{{"authenticate", r.authenticate}, {"new key", r.newKey}}, nil)
}

func writeJSON(w http.ResponseWriter, status int, value any) *result.Error {
	body, err := json.Marshal(value)
	if err != nil {
		return result.Internal.With("%v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return result.CallerGone.With("")
	}
	return nil
}

// explanation is the answer of GET /admin/explain.
type explanation struct {
	BundleVersion uint64            `json:"bundle_version"`
	Model         string            `json:"model"`
	Version       string            `json:"version"`
	Reason        string            `json:"reason"`
	Refused       bool              `json:"refused"`
	Models        []explainedModel  `json:"models"`
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

// serveExplain tells why a request with the given workspace, model, version, kind
// and session would go where it goes now.
func (r *Router) serveExplain(c echo.Context) error {
	v := r.view.Load()
	if v.current == nil {
		return c.String(http.StatusServiceUnavailable, "no configuration\n")
	}
	request := routing.Request{
		ID:        c.QueryParam("request"),
		Workspace: c.QueryParam("workspace"),
		Model:     c.QueryParam("model"),
		Version:   c.QueryParam("version"),
		Kind:      c.QueryParam("kind"),
	}
	if id := c.QueryParam("session"); id != "" {
		request.Session = &routing.Session{ID: id, Workspace: request.Workspace}
	}
	why := v.routes.Explain(&request)
	out := explanation{
		BundleVersion: v.version(),
		Model:         why.Decision.Model,
		Version:       why.Decision.Version,
		Reason:        why.Decision.Reason.String(),
		Refused:       why.Decision.Refused,
	}
	for _, candidate := range why.Candidates {
		out.Models = append(out.Models, explainedModel{candidate.Model, candidate.Version, candidate.Chosen, candidate.Reason.String()})
	}
	for _, s := range r.candidates(&job{target: why.Decision.Model + "@" + why.Decision.Version}) {
		out.Servers = append(out.Servers, explainedServer{s.VM, s.DataCentre, s.Reason, s.Load, s.CostMS, s.Age.Milliseconds()})
	}
	return c.JSON(http.StatusOK, out)
}
