package scenarios

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/testbed"
)

// cmdSubmit submits requests: submit [options] KEY... It waits for each final fate
// unless -bg (in the background) or -once (a single call) is given. A call waits up to
// -wait for the final fate; then it is answered with the present one.
func cmdSubmit(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	f := newFlagSet("submit")
	service, via := f.String("service", "plan", ""), f.String("via", "all", "")
	run, deadline := f.Duration("run", 300*time.Millisecond, ""), f.Duration("deadline", 0, "")
	wait := f.Duration("wait", callWait, "")
	tasks := f.Int("tasks", 1, "")
	bg, once := f.Bool("bg", false, ""), f.Bool("once", false, "")
	limit := f.Duration("limit", waitTimeout, "")
	keys := parseInterspersed(ts, f, args)
	*via = sc.via(ts, *via)
	for _, key := range keys {
		req := request(key, *service, run.Milliseconds(), *tasks, *deadline)
		req.WaitMS = wait.Milliseconds()
		// A key that was used before repeats the earlier request.
		if rec, ok := sc.callers.snapshot()[key]; ok {
			req = rec.req
		}
		if len(sc.daemonsOf(*via)) == 0 {
			ts.Fatalf("no daemon is named %q", *via)
		}
		if *bg {
			// The caller is registered before the goroutine starts, so that the
			// command told waits for it.
			rec := sc.callers.begin(req, *service != "slot")
			sc.group.Go(func() {
				defer sc.callers.end(rec)
				_ = sc.submit(req, *service != "slot", *via, *limit, *once)
			})
			continue
		}
		ts.Check(sc.submit(req, *service != "slot", *via, *limit, *once))
	}
}

// cmdLoad starts a load, or stops one and waits for its callers:
// load start NAME DC[,DC] [options], load stop NAME.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	if len(args) < 2 {
		ts.Fatalf("usage: load start NAME DCS [options] | load stop NAME")
	}
	name := args[1]
	if args[0] == "stop" {
		ts.Check(sc.stopLoad(name))
		return
	}
	f := newFlagSet("load")
	via := f.String("via", "all", "")
	every, run := f.Duration("every", 100*time.Millisecond, ""), f.Duration("run", 400*time.Millisecond, "")
	parseInterspersed(ts, f, args[3:])
	sc.loads[name] = sc.startLoad(name, strings.Split(args[2], ","), *via, *every, run.Milliseconds())
	ts.Check(testbed.WaitFor(sc.ctx, waitTimeout, "first answers to load "+name, func() bool { return sc.doneCount(name) > 0 }))
}

// stopLoad stops a load and waits for its callers. It returns an error for callers
// that did not learn a final fate.
func (sc *scenario) stopLoad(name string) error {
	l := sc.loads[name]
	if l == nil {
		return errors.New("no load is named " + name)
	}
	l.cancel()
	<-l.done
	return errors.Join(l.errs...)
}

// doneCount returns the number of requests of a load that callers were told are done.
func (sc *scenario) doneCount(name string) int {
	n := 0
	for key, rec := range sc.callers.snapshot() {
		if strings.Contains(key, ":"+name+"-") && rec.fates[model.Done] {
			n++
		}
	}
	return n
}

// cmdProgress waits until N more requests of a load are done: progress NAME N.
func cmdProgress(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	if len(args) != 2 {
		ts.Fatalf("usage: progress NAME N")
	}
	before, n := sc.doneCount(args[0]), atoi(ts, args[1])
	ts.Check(testbed.WaitFor(sc.ctx, waitTimeout, args[1]+" more done requests of "+args[0], func() bool {
		return sc.doneCount(args[0]) >= before+n
	}))
}

// cmdFate requests a fate once and compares it: fate KEY WANT[|WANT] [via]. Each WANT
// is a fate or the kind of an error.
func cmdFate(ts *testscript.TestScript, _ bool, args []string) { fate(ts, args, time.Nanosecond) }

// cmdWaitFate waits until the fate is the wanted one:
// wait-fate KEY WANT[|WANT] [via].
func cmdWaitFate(ts *testscript.TestScript, _ bool, args []string) { fate(ts, args, waitTimeout) }

// fate requests the fate of a key until it is one of the wanted words or limit has
// passed.
func fate(ts *testscript.TestScript, args []string, limit time.Duration) {
	sc := scenarioOf(ts)
	if len(args) < 2 {
		ts.Fatalf("usage: KEY WANT [via]")
	}
	via := "all"
	if len(args) > 2 {
		via = args[2]
	}
	cl, err := sc.cluster.Client(sc.daemonsOf(via)...)
	ts.Check(err)
	var seen string
	err = testbed.WaitFor(sc.ctx, limit, "fate "+args[1]+" of "+args[0], func() bool {
		st, err := cl.Fate(sc.ctx, args[0])
		if rec := sc.callers.get(args[0]); rec != nil && err == nil {
			sc.callers.recordAnswer(rec, st, err, false)
		}
		seen = outcomeWord(st.Fate, err)
		return slices.Contains(strings.Split(args[1], "|"), seen)
	})
	if err != nil {
		ts.Fatalf("%v; the last answer was %s", err, seen)
	}
}

// cmdCancel cancels a request and waits until a daemon accepted the cancellation:
// cancel KEY [via].
func cmdCancel(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	via := "all"
	if len(args) > 1 {
		via = args[1]
	}
	cl, err := sc.cluster.Client(sc.daemonsOf(via)...)
	ts.Check(err)
	var last error
	err = testbed.WaitFor(sc.ctx, waitTimeout, "cancellation of "+args[0], func() bool {
		_, last = cl.Cancel(sc.ctx, args[0])
		return last == nil
	})
	ts.Check(errors.Join(err, last))
}

// cmdTold checks what the callers of a key were told: told KEY WORD[|WORD]. A word is
// a fate, a reason or the kind of an error. It first waits until the callers in the
// background have ended.
func cmdTold(ts *testscript.TestScript, neg bool, args []string) {
	sc := scenarioOf(ts)
	if len(args) != 2 {
		ts.Fatalf("usage: told KEY WORD[|WORD]")
	}
	ts.Check(testbed.WaitFor(sc.ctx, waitTimeout+callWait, "callers of "+args[0], func() bool {
		rec, ok := sc.callers.snapshot()[args[0]]
		return ok && rec.waiting == 0 && rec.attempts > 0
	}))
	rec := sc.callers.snapshot()[args[0]]
	words := []string{}
	for f := range rec.fates {
		words = append(words, string(f))
	}
	for r := range rec.reasons {
		words = append(words, r)
	}
	found := slices.ContainsFunc(strings.Split(args[1], "|"), func(want string) bool { return slices.Contains(words, want) })
	if found == neg {
		c, err := readCounters(sc.ctx, sc.cluster)
		ts.Fatalf("callers of %s were told %q, want %s (negated: %t); it was started %d times (%v)",
			args[0], words, args[1], neg, c.maxStarts(args[0]), err)
	}
}
