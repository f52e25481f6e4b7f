// Package harness holds what the stand-ins share: listeners, JSON handlers and
// the faults that apply to every request.
package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"catkinvalve/internal/fault"
	"catkinvalve/internal/standinapi"
)

// maxBodyBytes bounds request bodies; the largest are batches of task starts.
const maxBodyBytes = 16 << 20

// Abort is a handler status that closes the connection without an answer.
const StatusAbort = -1

// Call is a request whose body was read.
type Call struct {
	Ctx      context.Context
	Request  *http.Request
	Params   httprouter.Params
	Body     []byte
	Received time.Time
}

// Handler returns an HTTP status and a value to encode as JSON.
type Handler func(c *Call) (status int, reply any)

// Typed decodes the body before it calls h.
func DecodeJSON[T any](h func(c *Call, in T) (int, any)) Handler {
	return func(c *Call) (int, any) {
		var in T
		if err := json.Unmarshal(c.Body, &in); err != nil {
			return ErrorReply(fault.New(fault.Malformed, "send the documented JSON body", "%v", err))
		}
		return h(c, in)
	}
}

// Fail returns the status and the body of an error.
func ErrorReply(e *fault.Error) (int, any) { return e.HTTPStatus(), e }

// Gate applies the faults common to all stand-ins around their handlers.
type FaultInjector struct {
	kind        fault.Kind
	defaultLose string

	mu         sync.Mutex
	outage     bool
	delay      time.Duration
	lose       int
	losePath   string
	partition  standinapi.Partition
	partitions []netip.Prefix
}

// NewGate returns a gate without faults. An outage answers with kind. Lost
// answers apply to paths with the prefix losePath unless a fault names another.
func NewFaultInjector(kind fault.Kind, losePath string) *FaultInjector {
	return &FaultInjector{kind: kind, defaultLose: losePath, losePath: losePath}
}

// Set changes the faults that f names.
func (g *FaultInjector) ApplyFault(f standinapi.CommonFault) error {
	var prefixes []netip.Prefix
	if f.Partition != nil {
		for _, a := range f.Partition.Addrs {
			p, err := parsePrefix(a)
			if err != nil {
				return fmt.Errorf("partition address %q: %w", a, err)
			}
			prefixes = append(prefixes, p)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.Outage != nil {
		g.outage = *f.Outage
	}
	if f.DelayMS != nil {
		g.delay = time.Duration(*f.DelayMS) * time.Millisecond
	}
	if f.LoseNextAnswers != nil {
		g.lose, g.losePath = *f.LoseNextAnswers, f.LosePathPrefix
		if f.LosePathPrefix == "" {
			g.losePath = g.defaultLose
		}
	}
	if f.Partition != nil {
		g.partition, g.partitions = *f.Partition, prefixes
	}
	return nil
}

// Reset removes all faults.
func (g *FaultInjector) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outage, g.delay, g.lose, g.losePath = false, 0, 0, g.defaultLose
	g.partition, g.partitions = standinapi.Partition{}, nil
}

func parsePrefix(s string) (netip.Prefix, error) {
	if strings.Contains(s, "/") {
		return netip.ParsePrefix(s)
	}
	a, err := netip.ParseAddr(s)
	if err != nil {
		return netip.Prefix{}, err
	}
	return a.Prefix(a.BitLen())
}

// cut reports whether the sender is cut off and whether only answers are dropped.
func (g *FaultInjector) cut(r *http.Request) (isCut, dropAnswers bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	hit := slices.Contains(g.partition.Daemons, r.Header.Get(standinapi.DaemonHeader))
	if !hit && len(g.partitions) > 0 {
		if ap, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			addr := ap.Addr().Unmap()
			hit = slices.ContainsFunc(g.partitions, func(p netip.Prefix) bool { return p.Contains(addr) })
		}
	}
	return hit, g.partition.DropAnswers
}

// loses reports whether the answer of a successful request is to be lost.
func (g *FaultInjector) loses(r *http.Request, status int) bool {
	if status >= http.StatusBadRequest || (r.Method != http.MethodPost && r.Method != http.MethodPut) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lose <= 0 || !strings.HasPrefix(r.URL.Path, g.losePath) {
		return false
	}
	g.lose--
	return true
}

func (g *FaultInjector) state() (outage bool, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outage, g.delay
}

// Wrap returns h with the gate's faults applied. The partition is checked again
// before the answer, because it may have begun during a long poll. A delayed
// request is handled after the whole delay even if its caller has left, as it
// would be by a slow service.
func (g *FaultInjector) Wrap(h Handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		if isCut, drop := g.cut(r); isCut && !drop {
			panic(http.ErrAbortHandler)
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		call := &Call{Ctx: r.Context(), Request: r, Params: p, Body: body, Received: time.Now()}
		outage, delay := g.state()
		if !sleep(serverContext(r.Context()), delay) {
			panic(http.ErrAbortHandler)
		}
		var status int
		var reply any
		if outage {
			status, reply = ErrorReply(fault.New(g.kind, "wait for the end of the outage", "the service is down"))
		} else {
			status, reply = h(call)
		}
		if isCut, drop := g.cut(r); isCut {
			if drop {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		}
		if status == StatusAbort || g.loses(r, status) {
			panic(http.ErrAbortHandler)
		}
		WriteJSON(w, status, reply)
	}
}

// sleep waits for d and returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// WriteJSON writes a JSON answer with a Content-Length.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // The caller closed the connection; nothing to do.
}
