package router

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

// publicHandler serves the public API and its readiness check.
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
		r.answerError(newCall(w, request), result.NotFound.With("%s", request.URL.Path))
	}))
	return e
}

func wrap(h http.HandlerFunc) echo.HandlerFunc { return echo.WrapHandler(h) }

// internalHandler serves the RPCs of other routers and agents.
func (r *Router) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(rpc.PeerPathPrefix, r.PeerHandler())
	mux.Handle(rpc.LedgerPathPrefix, auth.RequireIdentity(rpc.NewLedgerServer(r.LocalLedger)))
	return mux
}

// adminHandler serves the operators' endpoints.
func (r *Router) adminHandler() http.Handler {
	e := r.AdminHandler()
	e.GET("/admin/explain", r.serveExplain)
	return e
}

// modelList is the response body of GET /v1/models.
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
	r.serveCall(w, request, filterChain{{"authenticate", r.authenticate}, {"models", r.listModels}}, nil)
}

// listModels sends the list of the versions that the workspace may use now.
func (r *Router) listModels(_ context.Context, c *call) *result.Error {
	list := modelList{Object: "list"}
	for _, pin := range c.view.routes.Allowed(c.workspace.Name) {
		list.Data = append(list.Data, modelEntry{ID: pin.Model + "@" + pin.Version, Object: "model", OwnedBy: "cactusknot"})
	}
	return writeJSON(c.writer, http.StatusOK, list)
}

func (r *Router) serveNewKey(w http.ResponseWriter, request *http.Request) {
	r.serveCall(w, request, filterChain{{"authenticate", r.authenticate}, {"new key", r.newKey}}, nil)
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
