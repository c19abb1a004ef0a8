package gateway

import "context"

// duty is this host's part in the promotions of one group.
type duty struct{}

func (h *Host) serveDuties(ctx context.Context) { <-ctx.Done() }
