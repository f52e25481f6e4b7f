package clientload

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"catkinvalve/internal/core/jobs"
)

// load is one kind of traffic of untrusted clients at daemons on the platform.
type load struct {
	name string
	// guards says which failure the load has shown or might show.
	guards string
	play   func(*platformCell)
}

// atFollower plays act by crowdSize clients of a daemon that does not lead.
func atFollower(act func(*client)) func(*platformCell) {
	return func(c *platformCell) { crowd(c.target(callerPort, c.follower()), crowdSize, act) }
}

// holdConnections opens connections to a port of a daemon and sends nothing.
func holdConnections(port int) func(*platformCell) {
	return func(c *platformCell) {
		crowd(c.target(port, c.follower()), connectionCrowd, func(*client) { time.Sleep(holdTime) })
	}
}

var largestStep = fmt.Sprintf(`{"count":%d,"cpu":1}`, jobs.MaxTasksPerStep)

var loads = []load{
	{"trailers", "trailers that do not end keep the bodies before them in memory", atFollower(func(c *client) {
		if c.sendChunks(32<<10-1) && c.send("0\r\n") == nil {
			c.drip(time.Now().Add(holdTime), func(i int) string { return fmt.Sprintf("Trailer-%d: x\r\n", i) })
		}
	})},
	{"slow_headers", "headers sent byte by byte hold connections and descriptors", func(c *platformCell) {
		crowd(c.target(callerPort, c.follower()), connectionCrowd, func(k *client) {
			text := k.header("Filler: " + strings.Repeat("x", 4096))
			k.drip(time.Now().Add(holdTime), func(i int) string { return text[i : i+1] })
		})
	}},
	{"pipelined_requests", "requests that are sent before the answers to earlier ones are held in memory", atFollower(func(c *client) {
		body := `{"spec":"` + strings.Repeat("x", 4000) + `","steps":[{"count":0}]}`
		c.sendAndHold(strings.Repeat(c.withLength(len(body))+body, 50))
	})},
	{"unread_answers", "answers that the client does not read fill the memory", atFollower(func(c *client) {
		requests := strings.Repeat(fmt.Sprintf("GET %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, c.id, host), 50)
		c.drip(time.Now().Add(holdTime), func(int) string { return requests })
	})},
	{"many_steps", "bodies with very many steps decode to many times their size", atFollower(func(c *client) {
		c.submit(`{"steps":` + repeatList((maxBodyBytes-20)/3, "{}") + `}`)
	})},
	{"long_dependency_lists", "long lists of dependencies decode to many times their size", atFollower(func(c *client) {
		c.submit(`{"steps":[{"count":1},{"count":1,"dependsOn":` + repeatList((maxBodyBytes-60)/2, "0") + `}]}`)
	})},
	{"deep_nesting", "deeply nested bodies exhaust stack or memory", atFollower(func(c *client) {
		c.submit(`{"x":` + strings.Repeat("[", maxBodyBytes-10))
	})},
	{"many_tasks", "few small bodies with very many tasks fill the leader's memory", func(c *platformCell) {
		body := `{"steps":` + repeatList(8, largestStep) + `}`
		crowd(c.target(callerPort, c.follower()), 20, func(k *client) { k.submit(body) })
	}},
	{"due_occurrences", "occurrences that are all due at once fill the leader's memory", func(c *platformCell) {
		body := fmt.Sprintf(`{"steps":%s,"firstRunMs":1000,"intervalMs":1,"repeatCount":%d}`, repeatList(2, `{"count":2}`), jobs.MaxOccurrences)
		crowd(c.target(callerPort, c.follower()), 4, func(k *client) { k.submit(body) })
		time.Sleep(holdTime)
	}},
	{"largest_job_at_all_daemons", "one job of the largest legal size ends every daemon that leads", func(c *platformCell) {
		id, body := newID(), `{"steps":`+repeatList(jobs.MaxSteps, largestStep)+`}`
		for i := range c.daemons {
			crowd(c.target(callerPort, i), 1, func(k *client) { k.id = id; k.submit(body) })
		}
		time.Sleep(holdTime)
	}},
	{"large_jobs_at_leader", "many large jobs that are accepted fill the leader's memory", func(c *platformCell) {
		body := `{"steps":[{"count":1,"image":"` + strings.Repeat("x", maxBodyBytes-60) + `"}]}`
		crowd(c.target(callerPort, c.leader()), crowdSize, func(k *client) { k.submit(body) })
	}},
	{"large_jobs_at_follower", "large jobs that are passed on together end the link to the leader, or either daemon", atFollower(func(c *client) {
		c.submit(`{"steps":[{"count":1,"image":"` + strings.Repeat("x", maxBodyBytes-60) + `"}]}`)
	})},
	{"stalled_bodies_at_leader", "clients of the leader's own listener end the leader", func(c *platformCell) {
		crowd(c.target(callerPort, c.leader()), crowdSize, stalledBody)
	}},
	{"stalled_bodies_at_starting_daemon", "clients end a daemon before it knows its configuration", func(c *platformCell) {
		i := c.follower()
		_ = c.daemons[i].Kill()
		c.startDaemon(i)
		if err := await(func() error { return dial(c.address(callerPort, i)) }); err != nil {
			c.t.Error(err)
		}
		crowd(c.target(callerPort, i), crowdSize, stalledBody)
	}},
	{"idle_connections", "clients without requests use up the descriptors", holdConnections(callerPort)},
	{"connections_to_links", "connections to the port of other daemons use up the descriptors", holdConnections(linkPort)},
	{"connections_to_readiness", "connections to the readiness port use up the descriptors", holdConnections(readinessPort)},
	{"connections_to_metrics", "connections to the metrics port use up the descriptors", holdConnections(metricsPort)},
}

// dial opens and closes a connection.
func dial(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Guards against clients that end a daemon, or make it use more memory or descriptors than its
// settings allow, or no longer answer others. Each load says how.
func TestClientLoad(t *testing.T) {
	all := loads
	for _, s := range httpShapes {
		all = append(all, load{s.name, s.guards, atFollower(s.act)})
	}
	for _, l := range all {
		t.Run(l.name, func(t *testing.T) {
			startPlatformCell(t, lowered).play(l.play)
			logGuard(t, l.guards)
		})
	}
}

// logGuard logs what a failed test guards against.
func logGuard(t *testing.T, guards string) {
	if t.Failed() {
		t.Log("failure guarded against: " + guards)
	}
}

// playShapes plays shapes at a port of daemons on the platform.
func playShapes(t *testing.T, port int, shapes ...shape) {
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			startPlatformCell(t, lowered).play(func(c *platformCell) { crowd(c.target(port, c.follower()), crowdSize, s.act) })
			logGuard(t, s.guards)
		})
	}
}

func TestClientLoadReadiness(t *testing.T) { playShapes(t, readinessPort, httpShapes...) }
func TestClientLoadMetrics(t *testing.T)   { playShapes(t, metricsPort, httpShapes...) }
func TestClientLoadLinks(t *testing.T) {
	playShapes(t, linkPort, append(frameShapes, httpShapes...)...)
}

// Guards against peers that do not read a large configuration and so fill the memory.
func TestClientLoadLinksManyConnections(t *testing.T) {
	t.Run("unread_views", func(t *testing.T) {
		const routes = 1_200
		startCellWithRoutes(t, manyFiles, routes).play(func(c *platformCell) {
			crowd(c.target(linkPort, c.follower()), largeCrowd, func(k *client) { k.sendAndHold(views(50)) })
		})
	})
}

// Guards against headers that take more memory than is reserved for them, on a daemon whose memory
// limits the connections and not its descriptors.
func TestClientLoadManyConnections(t *testing.T) {
	for _, s := range httpShapes {
		t.Run(s.name, func(t *testing.T) {
			startPlatformCell(t, manyFiles).play(func(c *platformCell) { crowd(c.target(callerPort, c.follower()), largeCrowd, s.act) })
			logGuard(t, s.guards)
		})
	}
}
