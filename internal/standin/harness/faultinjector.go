// Package harness provides HTTP servers, JSON handlers and fault injection for
// the stand-ins.
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

// maxBodyBytes limits request bodies; the largest are batches of task starts.
const maxBodyBytes = 16 << 20

// StatusAbort is a handler status that closes the connection without an answer.
const StatusAbort = -1

// Call is an HTTP request with its body and the time at which it was received.
type Call struct {
	Ctx      context.Context
	Request  *http.Request
	Params   httprouter.Params
	Body     []byte
	Received time.Time
}

// Handler handles a request and returns an HTTP status and a value to encode as
// JSON.
type Handler func(c *Call) (status int, reply any)

// DecodeJSON returns a handler that decodes the JSON body and passes it to h. It
// answers a body that cannot be decoded with an error.
func DecodeJSON[T any](h func(c *Call, in T) (int, any)) Handler {
	return func(c *Call) (int, any) {
		var in T
		if err := json.Unmarshal(c.Body, &in); err != nil {
			return ErrorReply(fault.New(fault.Malformed, "send the documented JSON body", "%v", err))
		}
		return h(c, in)
	}
}

// ErrorReply returns the HTTP status and the body for an error.
func ErrorReply(e *fault.Error) (int, any) { return e.HTTPStatus(), e }

// FaultInjector applies the faults that all stand-ins support to the handlers of
// one stand-in.
type FaultInjector struct {
	outageKind            fault.Kind
	defaultLosePathPrefix string

	mu                sync.Mutex
	outage            bool
	delay             time.Duration
	answersToLose     int
	losePathPrefix    string
	partition         standinapi.Partition
	partitionPrefixes []netip.Prefix
}

// NewFaultInjector returns a FaultInjector without active faults. Requests during
// an outage are answered with an error of outageKind. Answers are lost only on
// paths with losePathPrefix unless a fault sets another prefix.
func NewFaultInjector(outageKind fault.Kind, losePathPrefix string) *FaultInjector {
	return &FaultInjector{outageKind: outageKind, defaultLosePathPrefix: losePathPrefix, losePathPrefix: losePathPrefix}
}

// ApplyFault changes the faults that are set in f. It returns an error and
// changes nothing if an address of the partition is malformed.
func (fi *FaultInjector) ApplyFault(f standinapi.CommonFault) error {
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
	fi.mu.Lock()
	defer fi.mu.Unlock()
	if f.Outage != nil {
		fi.outage = *f.Outage
	}
	if f.DelayMS != nil {
		fi.delay = time.Duration(*f.DelayMS) * time.Millisecond
	}
	if f.LoseNextAnswers != nil {
		fi.answersToLose, fi.losePathPrefix = *f.LoseNextAnswers, f.LosePathPrefix
		if f.LosePathPrefix == "" {
			fi.losePathPrefix = fi.defaultLosePathPrefix
		}
	}
	if f.Partition != nil {
		fi.partition, fi.partitionPrefixes = *f.Partition, prefixes
	}
	return nil
}

// Reset ends all faults.
func (fi *FaultInjector) Reset() {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.outage, fi.delay, fi.answersToLose, fi.losePathPrefix = false, 0, 0, fi.defaultLosePathPrefix
	fi.partition, fi.partitionPrefixes = standinapi.Partition{}, nil
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

// checkPartition reports whether the sender of r is in the partition and whether
// the partition only drops answers.
func (fi *FaultInjector) checkPartition(r *http.Request) (cutOff, dropAnswers bool) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	matched := slices.Contains(fi.partition.Daemons, r.Header.Get(standinapi.DaemonHeader))
	if !matched && len(fi.partitionPrefixes) > 0 {
		if ap, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			addr := ap.Addr().Unmap()
			matched = slices.ContainsFunc(fi.partitionPrefixes, func(p netip.Prefix) bool { return p.Contains(addr) })
		}
	}
	return matched, fi.partition.DropAnswers
}

// consumeAnswerLoss reports whether the answer to r is to be lost and, if so,
// decrements the number of answers to lose. Only successful POST and PUT requests
// count.
func (fi *FaultInjector) consumeAnswerLoss(r *http.Request, status int) bool {
	if status >= http.StatusBadRequest || (r.Method != http.MethodPost && r.Method != http.MethodPut) {
		return false
	}
	fi.mu.Lock()
	defer fi.mu.Unlock()
	if fi.answersToLose <= 0 || !strings.HasPrefix(r.URL.Path, fi.losePathPrefix) {
		return false
	}
	fi.answersToLose--
	return true
}

func (fi *FaultInjector) outageAndDelay() (outage bool, delay time.Duration) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.outage, fi.delay
}

// Wrap returns a route that applies the faults and calls h. The partition is
// checked again before the answer because it may have begun during a long poll.
// A delayed request is executed after the full delay even if its caller has
// disconnected, as a slow service would do.
func (fi *FaultInjector) Wrap(h Handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		if cutOff, drop := fi.checkPartition(r); cutOff && !drop {
			panic(http.ErrAbortHandler)
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		call := &Call{Ctx: r.Context(), Request: r, Params: p, Body: body, Received: time.Now()}
		outage, delay := fi.outageAndDelay()
		if !sleep(serverContext(r.Context()), delay) {
			panic(http.ErrAbortHandler)
		}
		var status int
		var reply any
		if outage {
			status, reply = ErrorReply(fault.New(fi.outageKind, "wait for the end of the outage", "the service is down"))
		} else {
			status, reply = h(call)
		}
		if cutOff, drop := fi.checkPartition(r); cutOff {
			if drop {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		}
		if status == StatusAbort || fi.consumeAnswerLoss(r, status) {
			panic(http.ErrAbortHandler)
		}
		WriteJSON(w, status, reply)
	}
}

// sleep waits for d. It returns false if ctx ended first.
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
	_, _ = w.Write(data) // An error means that the caller closed the connection.
}
