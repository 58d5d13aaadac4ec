package edge

import "context"

// watchSettings reloads the settings on request. Only the seed peers are replaced;
// the addresses and limits of a running process stay. If the settings cannot be
// loaded, the current ones stay in use.
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
		e.log.Error().Err(err).Msg("failed to load settings; keeping the current ones")
		return
	}
	e.controller.setSeedPeers(settings.SeedPeers)
	e.log.Info().Int("seed_peers", len(settings.SeedPeers)).Msg("settings reloaded")
}
