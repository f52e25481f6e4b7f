package daemon

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// LinkFaults cuts links to other daemons in tests. The zero value cuts none.
type LinkFaults struct {
	mu      sync.Mutex
	out, in []string
}

// LinkFault is the body of POST /admin/fault of a daemon's fault port. Each
// call replaces the links that are cut.
type LinkFault struct {
	// BlockOut lists daemons that this one cannot call.
	BlockOut []string `json:"block_out"`
	// BlockIn lists daemons whose calls this one does not receive.
	BlockIn []string `json:"block_in"`
}

// Out reports whether calls to a daemon are cut.
func (f *LinkFaults) Out(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.out, id)
}

// In reports whether calls from a daemon are cut.
func (f *LinkFaults) In(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.in, id)
}

// faultHeaderTimeout bounds reading a request of the fault port.
const faultHeaderTimeout = 5 * time.Second

// Serve answers the fault port until l is closed.
func (f *LinkFaults) Serve(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/fault", f.set)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: faultHeaderTimeout}
	return srv.Serve(l)
}

func (f *LinkFaults) set(w http.ResponseWriter, r *http.Request) {
	var body LinkFault
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	f.out, f.in = body.BlockOut, body.BlockIn
	f.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
