//go:build review

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"catkinvalve/internal/ports"
)

// staleConfig adds a route to the configuration while the leader's process is frozen for less than two seconds.
func staleConfig(c *cluster, trouble bool) error {
	if err := c.begin(); err != nil {
		return err
	}
	const (
		rounds    = 8
		frozen    = 1800 * time.Millisecond
		published = 1200 * time.Millisecond
		// settled is the time after the freeze when all daemons are asked: a stable window, and the bound of a configuration.
		settled = 3*time.Second + 2500*time.Millisecond
	)
	routes := []ports.Route{route("queue-a", prefix, 1)}
	for n := range rounds {
		leader := c.leader()
		if trouble {
			c.signal(leader, syscall.SIGSTOP)
		}
		time.Sleep(published)
		added := fmt.Sprintf("/added-%d/", n)
		routes = append(routes, route(fmt.Sprintf("added-%d", n), added, 1))
		if err := c.publish(routes...); err != nil {
			return err
		}
		acknowledged := time.Now()
		c.note("version %d acknowledged, with the route %s", c.version, added)
		time.Sleep(frozen - published)
		if trouble {
			c.signal(leader, syscall.SIGCONT)
		}
		time.Sleep(settled)
		for _, d := range c.daemons {
			status, _ := c.call(d, http.MethodGet, added, nil)
			if status == http.StatusNotFound {
				c.mu.Lock()
				c.violate("CONFIG: %s refuses a request with 404, %d ms after version %d, which has the route, was acknowledged", d.name, time.Since(acknowledged).Milliseconds(), c.version)
				c.mu.Unlock()
			}
		}
	}
	return nil
}
