package scenarios

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/daemon"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/peerpb"
	"catkinvalve/internal/ports"
	"catkinvalve/internal/standinapi"
	"catkinvalve/internal/testbed"
)

// stopTimeout is longer than the daemon's shutdown timeout of 30 s.
const stopTimeout = 35 * time.Second

// selectDaemon returns the daemon that the arguments select and stores its ID in
// $DAEMON for later commands.
func selectDaemon(ts *testscript.TestScript, args []string) string {
	id := scenarioOf(ts).daemonArg(ts, args)
	ts.Setenv("DAEMON", id)
	ts.Logf("daemon %s", id)
	return id
}

// cmdKill ends a daemon with SIGKILL: kill-daemon owner DC |
// standby DC | all DC | ID.
func cmdKill(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	if len(args) == 2 && args[0] == "all" {
		for _, id := range sc.daemonsOf(args[1]) {
			ts.Check(sc.cluster.Daemons[id].Kill())
		}
		return
	}
	ts.Check(sc.cluster.Daemons[selectDaemon(ts, args)].Kill())
}

// cmdPause pauses the process of a daemon with SIGSTOP: pause owner DC | ID.
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	id := selectDaemon(ts, args)
	sc.sampler.setPaused(id, true)
	ts.Check(sc.cluster.Daemons[id].Signal(syscall.SIGSTOP))
}

// cmdResume resumes a paused daemon with SIGCONT: resume ID.
func cmdResume(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	ts.Check(sc.cluster.Daemons[args[0]].Signal(syscall.SIGCONT))
	sc.sampler.setPaused(args[0], false)
}

// cmdRestart restarts daemons; those that still run are killed first:
// restart ID...
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	for _, id := range args {
		ts.Check(sc.cluster.Daemons[id].Kill())
		ts.Check(sc.updateCluster(func() error { return sc.cluster.Restart(id) }))
	}
	ts.Check(sc.cuts.apply(sc))
}

// cmdReplaceAll kills all daemons of a data centre and starts new ones with other
// IDs and without any state: replace-all DC.
func cmdReplaceAll(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	old := sc.daemonsOf(args[0])
	for _, id := range old {
		ts.Check(sc.cluster.Daemons[id].Kill())
		ts.Check(sc.cluster.RemoveInstance(sc.ctx, id))
	}
	sc.replacements++
	for i := range old {
		ts.Check(sc.join(args[0], fmt.Sprintf("%s-r%d-%d", args[0], sc.replacements, i)))
	}
	ts.Check(sc.updateCluster(func() error {
		for _, id := range old {
			delete(sc.cluster.Daemons, id)
			sc.cluster.DaemonIDs = slices.DeleteFunc(sc.cluster.DaemonIDs, func(o string) bool { return o == id })
		}
		return nil
	}))
	ts.Check(sc.cuts.apply(sc))
}

// cmdJoin adds a daemon to a data centre: join DC ID.
func cmdJoin(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	ts.Check(sc.join(args[0], args[1]))
	ts.Check(sc.cuts.apply(sc))
}

func (sc *scenario) join(dc, id string) error {
	i := slices.IndexFunc(sc.dcs, func(d testbed.DC) bool { return d.Name == dc })
	if i < 0 {
		return fmt.Errorf("there is no data centre %q", dc)
	}
	return sc.updateCluster(func() error { return sc.cluster.AddDaemon(sc.ctx, sc.dcs[i], id) })
}

// cmdStop stops a daemon gracefully and requires exit code 0: stop-daemon
// owner DC | ID.
func cmdStop(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	ts.Check(sc.cluster.Daemons[selectDaemon(ts, args)].Terminate(stopTimeout))
}

// cmdLog injects a fault into the log: log outage on|off, log slow DURATION,
// log truncate STREAM, log lose-answer N.
func cmdLog(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	f := standinapi.LogFault{}
	if args[0] == "truncate" {
		st, err := sc.cluster.LogStats(sc.ctx)
		ts.Check(err)
		f.Truncation = &standinapi.Truncation{Stream: args[1], Before: st.Streams[args[1]].Next}
	} else {
		f.CommonFault = commonFault(ts, args)
	}
	ts.Check(sc.cluster.Fault(sc.ctx, sc.cluster.Log.Admin, f))
}

// cmdWaitJournal waits until the fate stream of a data centre contains one of the
// given fates of a key: wait-journal DATA-CENTRE KEY FATE|FATE.
func cmdWaitJournal(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	if len(args) != 3 {
		ts.Fatalf("want a data centre, a key and a fate, have %q", args)
	}
	stream := "fates." + args[0]
	ts.Check(testbed.WaitFor(sc.ctx, waitTimeout, args[1]+" "+args[2]+" in stream "+stream, func() bool {
		var page standinapi.ReadReply
		err := sc.cluster.Admin(sc.ctx, "GET", sc.cluster.Log.Listen, "/v1/streams/"+stream+"?from=0&max=1000", nil, &page)
		return err == nil && slices.ContainsFunc(page.Records, func(r standinapi.LogRecord) bool {
			return journalHolds(r.Data, args[1], args[2])
		})
	}))
}

// journalHolds reports whether a batch of the fate stream contains one of the fates,
// separated by "|", of a key.
func journalHolds(data []byte, key, fates string) bool {
	var batch peerpb.ReplicateRequest
	return proto.Unmarshal(data, &batch) == nil && slices.ContainsFunc(batch.Records, func(r *peerpb.Record) bool {
		return r.GetRequest().GetKey() == key && slices.Contains(strings.Split(fates, "|"), r.GetFate())
	})
}

// commonFault parses a fault that all stand-ins support.
func commonFault(ts *testscript.TestScript, args []string) standinapi.CommonFault {
	var f standinapi.CommonFault
	if len(args) != 2 {
		ts.Fatalf("want outage on|off, slow DURATION or lose-answer N, have %q", args)
	}
	switch args[0] {
	case "outage":
		on := args[1] == "on"
		f.Outage = &on
	case "slow":
		d, err := time.ParseDuration(args[1])
		ts.Check(err)
		ms := d.Milliseconds()
		f.DelayMS = &ms
	case "lose-answer":
		n := atoi(ts, args[1])
		f.LoseNextAnswers = &n
	default:
		ts.Fatalf("unknown fault %q", args[0])
	}
	return f
}

// cmdOld injects a fault into the old system: old outage|slow|lose-answer ARG.
func cmdOld(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	ts.Check(sc.cluster.Fault(sc.ctx, sc.cluster.Old.Admin, standinapi.OldFault{CommonFault: commonFault(ts, args)}))
}

// cmdWorker injects a fault into one worker or all of a data centre:
// worker WORKER|DC fail-all|duplicate|reorder on|off, crash, leave, or a fault of
// commonFault.
func cmdWorker(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	dc, worker := sc.workerArg(ts, args[0])
	f := standinapi.WorkerFault{Worker: worker}
	on := len(args) > 2 && args[2] == "on"
	switch args[1] {
	case "fail-all":
		f.FailAll = &on
	case "duplicate":
		f.DuplicateEvents = &on
	case "reorder":
		f.ReorderEvents = &on
	case "crash":
		f.Crash = true
	case "leave":
		sc.markLeaving(ts, args[0])
		return
	default:
		f.CommonFault = commonFault(ts, args[1:])
	}
	ts.Check(sc.cluster.Fault(sc.ctx, sc.cluster.Workers[dc].Admin, f))
}

// workerArg returns the data centre and the worker that name selects. The worker is
// empty if name is a data centre.
func (sc *scenario) workerArg(ts *testscript.TestScript, name string) (string, model.WorkerID) {
	for _, dc := range sc.dcs {
		if name == dc.Name {
			return name, ""
		}
		for i := range dc.Workers {
			if id := fmt.Sprintf("%s-w-%d", dc.Name, i); id == name {
				return dc.Name, model.WorkerID(id)
			}
		}
	}
	ts.Fatalf("there is no worker %q", name)
	return "", ""
}

// markLeaving marks a worker as leaving and waits until the instance list shows it.
func (sc *scenario) markLeaving(ts *testscript.TestScript, id string) {
	inst, ok := sc.listedInstance(ts, id)
	if !ok {
		ts.Fatalf("worker %s is not listed", id)
	}
	inst.State = ports.StateLeaving
	ts.Check(sc.cluster.SetInstance(sc.ctx, inst))
	ts.Check(testbed.WaitFor(sc.ctx, waitTimeout, "list shows "+id+" as leaving", func() bool {
		now, ok := sc.listedInstance(ts, id)
		return ok && now.State == ports.StateLeaving
	}))
	sc.leavingSince[id] = time.Now()
}

// listedInstance returns the instance as the list shows it, and whether it does.
func (sc *scenario) listedInstance(ts *testscript.TestScript, id string) (ports.Instance, bool) {
	var list standinapi.InstancesReply
	ts.Check(sc.cluster.Admin(sc.ctx, "GET", sc.cluster.List.Listen, "/v1/instances", nil, &list))
	i := slices.IndexFunc(list.Instances, func(in ports.Instance) bool { return in.ID == id })
	if i < 0 {
		return ports.Instance{}, false
	}
	return list.Instances[i], true
}

// cmdList injects a fault into the instance list: list lag DURATION, or a fault of
// commonFault.
func cmdList(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	f := standinapi.ListFault{}
	if args[0] == "lag" {
		d, err := time.ParseDuration(args[1])
		ts.Check(err)
		ms := d.Milliseconds()
		f.LagMS = &ms
	} else {
		f.CommonFault = commonFault(ts, args)
	}
	ts.Check(sc.cluster.Fault(sc.ctx, sc.cluster.List.Admin, f))
}

// cmdDrain drains a worker through the API: drain WORKER.
func cmdDrain(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	cl, err := sc.cluster.Client()
	ts.Check(err)
	_, err = cl.Drain(sc.ctx, args[0])
	ts.Check(err)
	sc.leavingSince[args[0]] = time.Now()
}

// cuts holds the links that are cut at present.
type cuts struct {
	// links lists pairs of data centres; the first cannot call the second.
	links [][2]string
	// log and list hold the data centres that cannot reach the log or the list.
	log, list []string
}

// cmdCut cuts links until heal: cut DC DC|log|list..., cut-oneway FROM TO.
func cmdCut(ts *testscript.TestScript, neg bool, args []string) { cut(ts, neg, args, false) }

func cmdCutOneWay(ts *testscript.TestScript, neg bool, args []string) { cut(ts, neg, args, true) }

func cut(ts *testscript.TestScript, _ bool, args []string, oneWay bool) {
	sc := scenarioOf(ts)
	if len(args) < 2 {
		ts.Fatalf("usage: cut DC DC|log|list...")
	}
	for _, to := range args[1:] {
		switch to {
		case "log":
			sc.cuts.log = append(sc.cuts.log, args[0])
		case "list":
			sc.cuts.list = append(sc.cuts.list, args[0])
		default:
			sc.cuts.links = append(sc.cuts.links, [2]string{args[0], to})
			if !oneWay {
				sc.cuts.links = append(sc.cuts.links, [2]string{to, args[0]})
			}
		}
	}
	ts.Check(sc.cuts.apply(sc))
}

// cmdHeal ends all cuts.
func cmdHeal(ts *testscript.TestScript, _ bool, _ []string) {
	sc := scenarioOf(ts)
	sc.cuts = cuts{}
	ts.Check(sc.cuts.apply(sc))
}

// apply configures the cuts in all running daemons, the log and the list. Both ends
// of a cut link drop its calls.
func (c cuts) apply(sc *scenario) error {
	for _, id := range sc.running("all") {
		d := sc.cluster.Daemons[id]
		f := daemon.LinkFaultRequest{}
		for _, l := range c.links {
			if l[0] == d.DataCentre {
				f.BlockOut = append(f.BlockOut, sc.daemonsOf(l[1])...)
			}
			if l[1] == d.DataCentre {
				f.BlockIn = append(f.BlockIn, sc.daemonsOf(l[0])...)
			}
		}
		// A daemon that has just started may not listen yet.
		var last error
		if err := testbed.WaitFor(sc.ctx, waitTimeout, "fault port of "+id, func() bool {
			last = sc.cluster.Fault(sc.ctx, d.Fault, f)
			return last == nil
		}); err != nil {
			return fmt.Errorf("%w: %w", err, last)
		}
	}
	for addr, dcs := range map[string][]string{sc.cluster.Log.Admin: c.log, sc.cluster.List.Admin: c.list} {
		p := standinapi.Partition{}
		for _, dc := range dcs {
			p.Daemons = append(p.Daemons, sc.daemonsOf(dc)...)
		}
		if err := sc.cluster.Fault(sc.ctx, addr, standinapi.CommonFault{Partition: &p}); err != nil {
			return err
		}
	}
	return nil
}

// cmdWaitOwner waits until a data centre has an owner other than ID:
// wait-owner DC [-not ID] [-doubt]. Without -doubt the owner must have recovered all
// earlier requests.
func cmdWaitOwner(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	f := newFlagSet("wait-owner")
	not, doubt := f.String("not", "", ""), f.Bool("doubt", false, "")
	dc := parseInterspersed(ts, f, args)[0]
	ts.Check(testbed.WaitFor(sc.ctx, waitTimeout, "owner of "+dc, func() bool {
		st, _ := sc.cluster.Status(sc.ctx, dc)
		return st.Owner != "" && st.Owner != *not && (*doubt || !st.InDoubt)
	}))
}

// inEffectTimeout is the time that promise 8 in section 1 of docs/design.md permits
// until an accepted configuration is in effect at all daemons.
const inEffectTimeout = 19 * time.Second

// cmdWaitRevision waits until a revision is in effect at all running daemons:
// wait-revision N [DAEMONS]. It fails after 19 s and is used directly after a
// publication, heal or join.
func cmdWaitRevision(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	want, words := uint64(atoi(ts, args[0])), "all"
	if len(args) > 1 {
		words = args[1]
	}
	begin := time.Now()
	ts.Check(testbed.WaitFor(sc.ctx, inEffectTimeout, "revision "+args[0]+" at "+words, func() bool {
		last := sc.sampler.latest()
		for _, id := range sc.running(words) {
			// An older sample may come from an earlier process of the daemon.
			if last[id].revision < want || last[id].at.Before(begin) {
				return false
			}
		}
		return true
	}))
	ts.Logf("revision %d is in effect at %s after %s", want, words, time.Since(begin).Round(10*time.Millisecond))
}

// cmdPublish publishes a configuration text: publish [options]. The option -want is
// accepted, lost or the kind of an error. With -racers N there are N concurrent
// publications, of which exactly one must be accepted and the others must be lost.
func cmdPublish(ts *testscript.TestScript, _ bool, args []string) {
	sc := scenarioOf(ts)
	f := newFlagSet("publish")
	share, base := f.Int("share", sc.share, ""), f.Int("base", -1, "")
	id, via, want := f.String("id", "", ""), f.String("via", "all", ""), f.String("want", "accepted", "")
	racers := f.Int("racers", 1, "")
	parseInterspersed(ts, f, args)
	sc.share = *share
	if *base < 0 {
		*base = int(sc.highestRevision())
	}
	if *id == "" {
		*id = "publish-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	results := make(chan string, *racers)
	for i := range *racers {
		req := api.PublishRequest{PublishID: *id, Base: uint64(*base), Author: "operator"}
		if *racers > 1 {
			req.PublishID = fmt.Sprintf("%s-%d", *id, i)
		}
		req.Text = sc.text(req.PublishID)
		daemons := sc.running(*via)
		go func() { results <- sc.publish(daemons[i%len(daemons)], req) }()
	}
	var got []string
	for range *racers {
		got = append(got, <-results)
	}
	won := len(slices.DeleteFunc(slices.Clone(got), func(s string) bool { return s != "accepted" }))
	lost := len(slices.DeleteFunc(slices.Clone(got), func(s string) bool { return s != "lost" }))
	ok := *racers == 1 && got[0] == *want || *racers > 1 && won == 1 && lost == *racers-1
	if !ok {
		ts.Fatalf("%d publications on revision %d: %q, want %s", *racers, *base, got, *want)
	}
	ts.Logf("publications on revision %d: %q", *base, got)
}

// highestRevision returns the highest revision in the last samples of all daemons.
func (sc *scenario) highestRevision() uint64 {
	var r uint64
	for _, s := range sc.sampler.latest() {
		r = max(r, s.revision)
	}
	return r
}

// publish repeats a publication with the same ID until its verdict is known or the
// error is not one that a retry can resolve. It returns accepted, lost or the kind
// of the error.
func (sc *scenario) publish(id string, req api.PublishRequest) string {
	cl, err := sc.client(id)
	if err != nil {
		return err.Error()
	}
	var outcome string
	err = testbed.WaitFor(sc.ctx, waitTimeout, "verdict on "+req.PublishID, func() bool {
		res, err := cl.Publish(sc.ctx, req)
		switch kind := fault.KindOf(err); {
		case err == nil && res.Accepted:
			outcome = "accepted"
		case err == nil:
			outcome = "lost"
		case kind == fault.PublishConflict:
			outcome = "lost"
		case kind == fault.FateUnknownYet || kind == fault.NotReady:
			return false
		default:
			outcome = string(kind)
		}
		return true
	})
	if err != nil {
		return err.Error()
	}
	return outcome
}

// outcomeWord returns the fate or, for an error, its kind.
func outcomeWord(f model.Fate, err error) string {
	if err != nil {
		return string(fault.KindOf(err))
	}
	return string(f)
}
