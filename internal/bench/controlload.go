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

// submitAll sends requests at a rate, spread over all data centres and daemons.
func (m *controlRun) submitAll(ctx context.Context, name string, rate float64) (sent, refused int64, err error) {
	duration := m.short(loadTime)
	begun := time.Now()
	var next, accepted, rejected atomic.Int64
	p := pool.New().WithErrors()
	for range loadClients {
		p.Go(func() error {
			client, err := m.c.Client()
			if err != nil {
				return err
			}
			for {
				i := next.Add(1) - 1
				due := time.Duration(float64(i) / rate * float64(time.Second))
				if due >= duration {
					return nil
				}
				if err := pause(ctx, due-time.Since(begun)); err != nil {
					return err
				}
				if _, err := client.Submit(ctx, m.loadRequest(name, i)); err != nil {
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

func (m *controlRun) loadRequest(name string, i int64) api.SubmitRequest {
	dc := controlDCs[i%int64(len(controlDCs))].Name
	size := loadSize
	return api.SubmitRequest{Key: fmt.Sprintf("%s:%s-%d", dc, name, i), Service: loadService, Size: &size, RunMS: loadRunMS, Payload: make([]byte, 200)}
}
