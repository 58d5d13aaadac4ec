package edge

import "context"

// watchSettings reads the settings again at each request. Addresses and limits of
// a running process stay; the seed peers are replaced. Settings that can't be
// read leave the present ones in force.
func (e *Edge) watchSettings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.reload.Requests:
			e.reloadSettings()
		}
	}
}

func (e *Edge) reloadSettings() {
	settings, err := e.reload.Load()
	if err != nil {
		e.log.Error().Err(err).Msg("settings can't be read: the present ones stay in force")
		return
	}
	e.control.setSeeds(settings.SeedPeers)
	e.log.Info().Int("seed_peers", len(settings.SeedPeers)).Msg("settings reloaded")
}
