package daemon

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
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

// faultHeaderTimeout bounds reading the header of a request on the fault port.
const faultHeaderTimeout = 5 * time.Second

// Serve serves the fault port until l is closed. It always returns an error.
func (f *LinkFaults) Serve(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/fault", f.handleFault)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: faultHeaderTimeout}
	return srv.Serve(l)
}

func (f *LinkFaults) handleFault(w http.ResponseWriter, r *http.Request) {
	var body LinkFaultRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	f.blockedOut, f.blockedIn = body.BlockOut, body.BlockIn
	f.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
