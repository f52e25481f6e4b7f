package testbed

import (
	"context"
	"fmt"
	"time"

	"catkinvalve/internal/api"
)

// Owner returns the ID of the daemon that owns a data centre, as reported by the data
// centre's daemons, and false if none is known.
func (c *Cluster) Owner(ctx context.Context, dc string) (string, bool) {
	st, ok := c.Status(ctx, dc)
	return st.Owner, ok && st.Owner != ""
}

// Status returns the state of a data centre as reported by one of its daemons,
// preferably by one that knows the owner. It returns false if none of
// them reports the data centre as reachable.
func (c *Cluster) Status(ctx context.Context, dc string) (api.DataCentreStatus, bool) {
	var seen api.DataCentreStatus
	found := false
	for _, id := range c.DaemonIDs {
		d := c.Daemons[id]
		if d.DataCentre != dc || d.Process == nil || !d.Alive() {
			continue
		}
		cl, err := c.Client(id)
		if err != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		s, err := cl.Status(callCtx)
		cancel()
		if err != nil {
			continue
		}
		for _, st := range s.DataCentres {
			if string(st.DataCentre) == dc && st.Reachable {
				seen, found = st, true
			}
		}
		if seen.Owner != "" {
			return seen, true
		}
	}
	return seen, found
}

// WaitFor polls a condition until it holds. It returns an error that names what it
// waited for once limit has passed, or the error of ctx.
func WaitFor(ctx context.Context, limit time.Duration, what string, cond func() bool) error {
	deadline := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %s", what, limit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(30 * time.Millisecond):
		}
	}
	return nil
}

// WaitOwners waits up to limit for each data centre until it has an owner whose records are
// complete.
func (c *Cluster) WaitOwners(ctx context.Context, limit time.Duration) error {
	for _, dc := range c.Opts.DCs {
		if err := WaitFor(ctx, limit, "owner of "+dc.Name, func() bool {
			st, _ := c.Status(ctx, dc.Name)
			return st.Owner != "" && !st.InDoubt
		}); err != nil {
			return err
		}
	}
	return nil
}
