package bench

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"catkinvalve/internal/api"
)

const (
	loadClients = 16
	loadService = "carton-manifest"
	loadRunMS   = 100
)

// submitAll submits requests at a fixed rate, in turn to all data centres. It
// returns the numbers of accepted and of rejected submissions.
func (m *controlRun) submitAll(ctx context.Context, name string, rate float64) (sent, refused int64, err error) {
	duration := m.shortened(loadDuration)
	startTime := time.Now()
	var next, accepted, rejected atomic.Int64
	p := pool.New().WithErrors()
	for range loadClients {
		p.Go(func() error {
			clients, err := m.localClients()
			if err != nil {
				return err
			}
			for {
				i := next.Add(1) - 1
				due := time.Duration(float64(i) / rate * float64(time.Second))
				if due >= duration {
					return nil
				}
				if err := sleep(ctx, due-time.Since(startTime)); err != nil {
					return err
				}
				if _, err := clients[i%int64(len(clients))].Submit(ctx, loadRequest(name, i)); err != nil {
					rejected.Add(1)
				} else {
					accepted.Add(1)
				}
			}
		})
	}
	err = p.Wait()
	return accepted.Load(), rejected.Load(), err
}

// localClients returns one client for the daemons of each data centre, because
// callers submit to their own data centre, which is the prefix of their keys.
func (m *controlRun) localClients() ([]*api.Client, error) {
	var out []*api.Client
	for _, dc := range controlDCs {
		var ids []string
		for _, id := range m.c.DaemonIDs {
			if m.c.Daemons[id].DataCentre == dc.Name {
				ids = append(ids, id)
			}
		}
		c, err := m.c.Client(ids...)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

func loadRequest(name string, i int64) api.SubmitRequest {
	dc := controlDCs[i%int64(len(controlDCs))].Name
	size := loadSize
	return api.SubmitRequest{Key: fmt.Sprintf("%s:%s-%d", dc, name, i), Service: loadService, Size: &size, RunMS: loadRunMS, Payload: make([]byte, 200)}
}
