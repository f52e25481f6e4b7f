package daemon

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"catkinvalve/internal/adapters/intakehttp"
	"catkinvalve/internal/intake"
)

// LinkFaults blocks calls from and to other daemons in tests. The zero value blocks
// none.
type LinkFaults struct {
	mu                    sync.Mutex
	blockedOut, blockedIn []string
}

// LinkFaultRequest is the body of POST /admin/fault on a daemon's fault port. Each
// call replaces both lists.
type LinkFaultRequest struct {
	// BlockOut lists the IDs of daemons that this one cannot call.
	BlockOut []string `json:"block_out"`
	// BlockIn lists the IDs of daemons whose calls this one does not receive.
	BlockIn []string `json:"block_in"`
}

// OutboundBlocked reports whether calls to a daemon are blocked.
func (f *LinkFaults) OutboundBlocked(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.blockedOut, id)
}

// InboundBlocked reports whether calls from a daemon are blocked.
func (f *LinkFaults) InboundBlocked(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.blockedIn, id)
}

const (
	// maxFaultBytes is the largest body on the fault port, and faultBodyTimeout limits its reading.
	maxFaultBytes    = 64 << 10
	faultBodyTimeout = 5 * time.Second
)

// faultPortLimits are the limits of the clients of the fault port.
var faultPortLimits = intake.Limits{Conns: 16, Bytes: 1 << 20}

// Serve serves the fault port until l is closed. It always returns an error.
func (f *LinkFaults) Serve(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/fault", f.handleFault)
	limited := intakehttp.NewListener(l, intake.NewLimiter(faultPortLimits), func() {})
	return intakehttp.NewOperatorServer(mux).Serve(limited)
}

func (f *LinkFaults) handleFault(w http.ResponseWriter, r *http.Request) {
	body, err := intakehttp.ReadBody(w, r, maxFaultBytes, time.Now().Add(faultBodyTimeout))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var request LinkFaultRequest
	if err := json.Unmarshal(body.Data, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	f.blockedOut, f.blockedIn = request.BlockOut, request.BlockIn
	f.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
