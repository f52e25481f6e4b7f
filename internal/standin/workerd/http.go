package workerd

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/standin/harness"
	"catkinvalve/internal/standinapi"
)

// maxSyncWait limits long polls, so that a client that disappeared does not hold
// a connection open.
const maxSyncWait = time.Minute

// Handler returns the worker API.
func (w *Worker) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/v1/worker", w.faults.Wrap(w.handleInfo))
	r.POST("/v1/lease", w.faults.Wrap(harness.DecodeJSON(w.handleLease)))
	r.POST("/v1/lease/release", w.faults.Wrap(harness.DecodeJSON(w.handleRelease)))
	r.POST("/v1/sync", w.faults.Wrap(harness.DecodeJSON(w.handleSync)))
	r.POST("/v1/tasks", w.faults.Wrap(harness.DecodeJSON(w.handleStart)))
	r.POST("/v1/tasks/stop", w.faults.Wrap(harness.DecodeJSON(w.handleStop)))
	return r
}

func leaseLost() (int, any) {
	return harness.ErrorReply(fault.New(fault.LeaseLost, "acquire the lease again", "the lease is not current"))
}

func malformed(message string) (int, any) {
	return harness.ErrorReply(fault.New(fault.Malformed, "send the documented JSON body", "%s", message))
}

func (w *Worker) handleInfo(*harness.Call) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return http.StatusOK, w.info
}

func (w *Worker) handleLease(_ *harness.Call, in standinapi.LeaseRequest) (int, any) {
	if in.Holder == "" || in.TTLMS <= 0 {
		return malformed("holder is empty or ttl_ms is not positive")
	}
	grant, held := w.acquireLease(in, time.Now())
	if held != nil {
		return http.StatusConflict, held
	}
	return http.StatusOK, grant
}

func (w *Worker) handleRelease(_ *harness.Call, in standinapi.LeaseRequest) (int, any) {
	if !w.releaseLease(in, time.Now()) {
		return leaseLost()
	}
	return http.StatusOK, struct{}{}
}

func (w *Worker) handleStart(c *harness.Call, in standinapi.StartRequest) (int, any) {
	for _, t := range in.Tasks {
		if t.ID == "" || t.Key == "" {
			return malformed("a task lacks its id or key")
		}
	}
	out, ok := w.startTasks(in, c.Received, time.Now())
	if !ok {
		return leaseLost()
	}
	return http.StatusOK, out
}

func (w *Worker) handleStop(_ *harness.Call, in standinapi.StopRequest) (int, any) {
	if !w.stopTasks(in, time.Now()) {
		return leaseLost()
	}
	return http.StatusOK, struct{}{}
}

// handleSync renews the lease when the request arrives and then waits for events.
// It refuses the request if the lease ended during the wait, be it by expiry,
// release or a crash of the worker.
func (w *Worker) handleSync(c *harness.Call, in standinapi.SyncRequest) (int, any) {
	if in.TTLMS <= 0 {
		return malformed("ttl_ms is not positive")
	}
	ok, known := w.renewLease(in, time.Now())
	if !ok {
		return leaseLost()
	}
	if !known {
		return malformed("ack is above the last event of this boot_id")
	}
	deadline := time.NewTimer(min(time.Duration(in.WaitMS)*time.Millisecond, maxSyncWait))
	defer deadline.Stop()
	for expired := in.WaitMS <= 0; ; {
		out, changed, current := w.pendingEvents(in, time.Now())
		if !current {
			return leaseLost()
		}
		if expired || len(out.Events) > 0 {
			out.Usage = w.measureUsage(time.Now())
			return http.StatusOK, out
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-c.Ctx.Done():
			return harness.StatusAbort, nil
		}
	}
}
