package clientload

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"catkinvalve/internal/core/jobs"
)

// load is one kind of traffic of untrusted clients.
type load struct {
	name string
	// guards says which failure the load has shown or might show.
	guards string
	play   func(c *testCell)
}

// atFollower plays act by crowdSize clients of a daemon that does not lead.
func atFollower(act func(*client)) func(*testCell) {
	return func(c *testCell) { c.crowd(c.daemons[c.follower()].settings.CallerAddress, crowdSize, act) }
}

// holdConnections opens connections to a port of a daemon and sends nothing.
func holdConnections(port int) func(*testCell) {
	return func(c *testCell) {
		c.crowd(c.address(port, c.follower()), connectionCrowd, func(*client) { time.Sleep(holdTime) })
	}
}

// stalledWholeBody sends all but the last byte of a large body.
func stalledWholeBody(c *client) {
	_ = c.send(c.withLength(maxBodyBytes) + largeBody[:maxBodyBytes-1])
	time.Sleep(holdTime)
}

// sendChunks sends the beginning of a large body in chunks of the given size, and returns whether
// the daemon has read all of it.
func sendChunks(c *client, size int) bool {
	err := c.send(c.header("Transfer-Encoding: chunked\r\n\r\n"))
	for at := 0; err == nil && at+size < maxBodyBytes; at += size {
		err = c.send(chunk(largeBody[at : at+size]))
	}
	return err == nil
}

var largestStep = fmt.Sprintf(`{"count":%d,"cpu":1}`, jobs.MaxTasksPerStep)

var loads = []load{
	{"stalled_bodies", "large bodies that stop just before their end fill the memory", atFollower(stalledWholeBody)},
	{"stalled_bodies_in_pieces", "the same for bodies that arrive in pieces", atFollower(func(c *client) {
		err := c.send(c.withLength(maxBodyBytes))
		for at := 0; err == nil && at+4096 < maxBodyBytes; at += 4096 {
			err = c.send(largeBody[at : at+4096])
			time.Sleep(time.Millisecond)
		}
		c.drip(time.Now().Add(holdTime), func(int) string { return "x" })
	})},
	{"large_chunks", "the same for chunked bodies", atFollower(func(c *client) {
		sendChunks(c, 64<<10-1)
		time.Sleep(holdTime)
	})},
	{"small_chunks", "the same for bodies of very small chunks", atFollower(func(c *client) {
		sendChunks(c, 64)
		time.Sleep(holdTime)
	})},
	{"trailers", "trailers that do not end keep the bodies before them in memory", atFollower(func(c *client) {
		if sendChunks(c, 32<<10-1) && c.send("0\r\n") == nil {
			c.drip(time.Now().Add(holdTime), func(i int) string { return fmt.Sprintf("Trailer-%d: x\r\n", i) })
		}
	})},
	{"slow_headers", "headers sent byte by byte hold connections and descriptors", func(c *testCell) {
		c.crowd(c.daemons[c.follower()].settings.CallerAddress, connectionCrowd, func(k *client) {
			text := k.header("Filler: " + strings.Repeat("x", 4096))
			k.drip(time.Now().Add(holdTime), func(i int) string { return text[i : i+1] })
		})
	}},
	{"long_headers", "headers far above the limit fill the memory", atFollower(func(c *client) {
		_ = c.send(c.header("Filler: " + strings.Repeat("x", 600<<10)))
		time.Sleep(holdTime)
	})},
	{"pipelined_requests", "requests that are sent before the answers to earlier ones are held in memory", atFollower(func(c *client) {
		body := `{"spec":"` + strings.Repeat("x", 4000) + `","steps":[{"count":0}]}`
		_ = c.send(strings.Repeat(c.withLength(len(body))+body, 50))
		time.Sleep(holdTime)
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
	{"many_tasks", "few small bodies with very many tasks fill the leader's memory", func(c *testCell) {
		body := `{"steps":` + repeatList(8, largestStep) + `}`
		c.crowd(c.daemons[c.follower()].settings.CallerAddress, 20, func(k *client) { k.submit(body) })
	}},
	{"due_occurrences", "occurrences that are all due at once fill the leader's memory", func(c *testCell) {
		body := fmt.Sprintf(`{"steps":%s,"firstRunMs":1000,"intervalMs":1,"repeatCount":%d}`, repeatList(2, `{"count":2}`), jobs.MaxOccurrences)
		c.crowd(c.daemons[c.follower()].settings.CallerAddress, 4, func(k *client) { k.submit(body) })
		time.Sleep(holdTime)
	}},
	{"largest_job_at_all_daemons", "one job of the largest legal size ends every daemon that leads", func(c *testCell) {
		id, body := c.newID(), `{"steps":`+repeatList(jobs.MaxSteps, largestStep)+`}`
		for _, d := range c.daemons {
			c.crowd(d.settings.CallerAddress, 1, func(k *client) { k.id = id; k.submit(body) })
		}
		time.Sleep(holdTime)
	}},
	{"large_jobs_at_leader", "many large jobs that are accepted fill the leader's memory", func(c *testCell) {
		body := `{"steps":[{"count":1,"image":"` + strings.Repeat("x", maxBodyBytes-60) + `"}]}`
		c.crowd(c.daemons[c.leader()].settings.CallerAddress, crowdSize, func(k *client) { k.submit(body) })
	}},
	{"large_jobs_at_follower", "large jobs that are passed on together end the link to the leader, or either daemon", atFollower(func(c *client) {
		c.submit(`{"steps":[{"count":1,"image":"` + strings.Repeat("x", maxBodyBytes-60) + `"}]}`)
	})},
	{"stalled_bodies_at_leader", "clients of the leader's own listener end the leader", func(c *testCell) {
		c.crowd(c.daemons[c.leader()].settings.CallerAddress, crowdSize, stalledWholeBody)
	}},
	{"stalled_bodies_at_starting_daemon", "clients end a daemon before it knows its configuration", func(c *testCell) {
		i := c.follower()
		_ = c.daemons[i].process.Kill()
		c.startDaemon(i)
		c.awaitListener(c.daemons[i].settings.CallerAddress)
		c.crowd(c.daemons[i].settings.CallerAddress, crowdSize, stalledWholeBody)
	}},
	{"idle_connections", "clients without requests use up the descriptors", holdConnections(callerPort)},
	{"connections_to_links", "connections to the port of other daemons use up the descriptors", holdConnections(linkPort)},
	{"connections_to_readiness", "connections to the readiness port use up the descriptors", holdConnections(readinessPort)},
	{"connections_to_metrics", "connections to the metrics port use up the descriptors", holdConnections(9464)},
}

// Guards against clients that end a daemon, or make it use more memory or descriptors than its
// settings allow, or no longer answer others. Each load says how.
func TestClientLoad(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			c := startCell(t)
			stop := c.watch()
			l.play(c)
			c.checkOrdinaryRequests()
			stop()
			c.checkBounds()
			if t.Failed() {
				t.Log("failure guarded against: " + l.guards)
			}
		})
	}
}
