package scenarios

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/testbed"
)

type command = func(ts *testscript.TestScript, neg bool, args []string)

// commands returns the commands of the scenario scripts by name.
func commands() map[string]command {
	return map[string]command{
		"cluster": cmdCluster, "publish": cmdPublish, "wait-revision": cmdWaitRevision, "wait-owner": cmdWaitOwner,
		"submit": cmdSubmit, "load": cmdLoad, "progress": cmdProgress, "fate": cmdFate, "wait-fate": cmdWaitFate,
		"cancel": cmdCancel, "told": cmdTold,
		"kill-daemon": cmdKill, "pause": cmdPause, "resume": cmdResume, "restart": cmdRestart, "replace-all": cmdReplaceAll,
		"stop-daemon": cmdStop, "join": cmdJoin, "cut": cmdCut, "cut-oneway": cmdCutOneWay, "heal": cmdHeal,
		"log": cmdLog, "wait-journal": cmdWaitJournal, "worker": cmdWorker, "list": cmdList, "old": cmdOld, "drain": cmdDrain,
		"no-overload":  check(func(sc *scenario, c counters, _ []string) []string { return c.overloadedWorkers() }),
		"no-double":    check(func(sc *scenario, c counters, _ []string) []string { return c.doubleRuns() }),
		"fates-true":   check(func(sc *scenario, c counters, _ []string) []string { return c.falseFates(sc.callers.snapshot()) }),
		"answers-own":  check(func(sc *scenario, _ counters, _ []string) []string { return wrongAnswers(sc.callers.snapshot()) }),
		"never-revert": check(func(sc *scenario, _ counters, _ []string) []string { return sc.sampler.problems() }),
		"runs-at-most-once": check(func(sc *scenario, c counters, args []string) []string {
			return sc.checkAtMostOnce(c, args)
		}),
		"no-lost-answers": check(func(sc *scenario, _ counters, args []string) []string {
			return lostAnswers(sc.callers.snapshot(), args[0])
		}),
		"ran": check(checkRan), "no-new-starts-on": cmdNoNewStarts, "wait-start": cmdWaitStart,
		"terms-refused": check(checkTermsRefused),
	}
}

// check returns a command that fails the script if fn reports problems in the
// counters of the stand-ins.
func check(fn func(sc *scenario, c counters, args []string) []string) command {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		sc := scenarioOf(ts)
		c, err := readCounters(sc.ctx, sc.cluster)
		ts.Check(err)
		if problems := fn(sc, c, args); len(problems) > 0 {
			ts.Fatalf("%s", strings.Join(problems, "\n"))
		}
	}
}

// checkAtMostOnce reports keys that were started more than once. It checks the given
// keys or, if there are none, all keys of requests that are not idempotent.
func (sc *scenario) checkAtMostOnce(c counters, keys []string) []string {
	if len(keys) == 0 {
		for key, rec := range sc.callers.snapshot() {
			if !rec.idempotent {
				keys = append(keys, key)
			}
		}
	}
	var out []string
	for _, key := range keys {
		out = append(out, c.repeatedStarts(key)...)
	}
	return out
}

// checkRan requires an exact number of starts: ran KEY N. It complements the check
// "at most once", which also passes if nothing was started.
func checkRan(_ *scenario, c counters, args []string) []string {
	if len(args) != 2 {
		return []string{"usage: ran KEY N"}
	}
	if n := c.maxStarts(args[0]); strconv.Itoa(n) != args[1] {
		return []string{fmt.Sprintf("key %s was started %d times, want %s", args[0], n, args[1])}
	}
	return nil
}

// checkTermsRefused requires that a worker of a data centre refused a command
// because of its lease: terms-refused DC. It proves that the scenario caused such a
// command.
func checkTermsRefused(_ *scenario, c counters, args []string) []string {
	var n int64
	for _, s := range c.fleets[args[0]].Workers {
		n += s.LeaseRefusals
	}
	if n == 0 {
		return []string{"no worker of " + args[0] + " refused an expired lease"}
	}
	return nil
}

// cmdWaitStart waits until a task of a key was started: wait-start KEY.
func cmdWaitStart(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	ts.Check(testbed.WaitFor(sc.ctx, waitTimeout, "start of "+args[0], func() bool {
		c, err := readCounters(sc.ctx, sc.cluster)
		return err == nil && c.maxStarts(args[0]) > 0
	}))
}

// cmdNoNewStarts checks that a leaving worker gets no new work once DURATION has
// passed since the list showed it as leaving: no-new-starts-on WORKER after
// DURATION. It requires a running load, because it waits for 20 starts on other
// workers of the data centre.
func cmdNoNewStarts(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	if len(args) != 3 {
		ts.Fatalf("usage: no-new-starts-on WORKER after DURATION")
	}
	since, ok := sc.leavingSince[args[0]]
	d, err := time.ParseDuration(args[2])
	ts.Check(err)
	if !ok {
		ts.Fatalf("worker %s is not leaving; use the command worker or drain first", args[0])
	}
	ts.Check(testbed.WaitFor(sc.ctx, waitTimeout, "end of the bound", func() bool { return time.Since(since) > d }))
	before, others := sc.startsOn(ts, args[0])
	ts.Check(testbed.WaitFor(sc.ctx, waitTimeout, "20 starts on other workers", func() bool {
		_, now := sc.startsOn(ts, args[0])
		return now >= others+20
	}))
	if now, _ := sc.startsOn(ts, args[0]); now != before {
		ts.Fatalf("worker %s got %d starts later than %s after the list showed it as leaving", args[0], now-before, d)
	}
}

// startsOn returns the numbers of starts on a worker and on the other workers of its
// data centre.
func (sc *scenario) startsOn(ts *testscript.TestScript, worker string) (on, others int64) {
	c, err := readCounters(sc.ctx, sc.cluster)
	ts.Check(err)
	for _, f := range c.fleets {
		if _, here := f.Workers[model.WorkerID(worker)]; !here {
			continue
		}
		for id, s := range f.Workers {
			if string(id) == worker {
				on = s.Starts
			} else {
				others += s.Starts
			}
		}
	}
	return on, others
}

func atoi(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}
