package edge

import (
	"context"
	"net/http"
	"time"

	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/topology"
)

const (
	// departureDoubt is the age of a departure from which a server whose entry still says that it
	// is available is asked for its health, and the time between two such checks. A server that
	// leaves has usually ended by then. A wrong announcement must not keep it out of use.
	departureDoubt = 10 * time.Second
	// departureCheckers is the number of routers that check a server.
	departureCheckers = 2
	// departureCheckTimeout bounds a check.
	departureCheckTimeout = time.Second
	// healthCheckSource is the source of a withdrawal by a health check.
	healthCheckSource = "health check"
)

// departureChecks asks servers that have announced that they leave, and go on, whether they still
// do. Only the control loop uses it.
type departureChecks struct {
	// checkedAt holds when a server was last asked, by its ID.
	checkedAt map[string]time.Time
}

// checkDepartures begins the checks that are due.
func (c *controller) checkDepartures(ctx context.Context, now time.Time) {
	announcements := c.edge.gateway.Chooser.Announcements
	if announcements.Empty() {
		clear(c.departureChecks.checkedAt)
		return
	}
	routers := c.routers.names(now)
	for id, s := range c.servers {
		announced := announcements.Of(id)
		if s.Draining || !announced.Leaving(s.Server) || now.Sub(announced.Departure.HeardAt) < departureDoubt ||
			now.Sub(c.departureChecks.checkedAt[id]) < departureDoubt || balance.Rank(c.edge.settings.VM, routers, id) >= departureCheckers {
			continue
		}
		if c.departureChecks.checkedAt == nil {
			c.departureChecks.checkedAt = make(map[string]time.Time)
		}
		c.departureChecks.checkedAt[id] = now
		if service := c.serviceOf(s); service != nil && service.HealthPath != "" {
			go c.edge.checkDeparture(ctx, s.Server, service.HealthPath)
		}
	}
}

// checkDeparture asks a server for its health and records that it stays if it says so.
func (e *Edge) checkDeparture(ctx context.Context, server *topology.Server, path string) {
	ctx, cancel := context.WithTimeout(ctx, departureCheckTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+path, http.NoBody)
	if err != nil {
		e.log.Warn().Err(err).Str("server", server.ID).Msg("health check of a leaving backend server not possible")
		return
	}
	request.Close = true
	response, err := e.peerHTTP.Do(request)
	if err != nil {
		e.log.Info().Err(err).Str("server", server.ID).Msg("health check of a leaving backend server failed")
		return
	}
	response.Body.Close()
	stays := e.settings.HeaderCodec.Stays(server.ID, response.StatusCode, response.Header)
	if stays {
		e.gateway.Chooser.Announcements.ObserveStay(time.Now(), server, healthCheckSource)
	}
	e.log.Info().Str("server", server.ID).Int("status", response.StatusCode).Bool("stays", stays).Msg("leaving backend server asked for its health")
}

// serviceOf returns the service of a server, or nil if it is not configured.
func (c *controller) serviceOf(s *serverState) *topology.Service {
	if c.config == nil {
		return nil
	}
	return c.config.Services[s.Service]
}
