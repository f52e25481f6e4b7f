//go:build review

// Command standin holds the stand-ins of the review's cases (store, advice service, workers) and
// the cases themselves, which start the project's daemons as processes.
package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/url"
	"os"
	"time"
)

// service is the name of the service whose workers run the tasks.
const service = "svc"

func stamp() string { return time.Now().Format("15:04:05.000") }

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin store|advice|workers|case ...")
		os.Exit(2)
	}
	fs := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	address := fs.String("address", "", "listen address")
	storeAddress := fs.String("store", "", "address of the store")
	network := fs.Int("network", 0, "second octet of the addresses")
	first := fs.Int("first", 0, "number of the first worker")
	count := fs.Int("count", 1, "number of workers")
	zone := fs.String("zone", "", "zone of the workers")
	cpu := fs.Int64("cpu", 0, "capacity of a worker in millicores")
	memMb := fs.Int64("mem", 0, "memory of a worker in MB")
	lease := fs.Int64("lease", 0, "longest lease of a worker in ms")
	good := fs.Float64("good", 1, "share of the workers that the advice service allows")
	_ = fs.Parse(os.Args[2:])
	var err error
	switch os.Args[1] {
	case "store":
		err = serveStore(*address)
	case "advice":
		err = serveAdvice(*address, *good)
	case "workers":
		var workers []*worker
		for i := *first; i < *first+*count; i++ {
			workers = append(workers, &worker{id: fmt.Sprintf("i-%04d", i), address: workerAddress(*network, i), kind: kindOf(i), rack: fmt.Sprintf("r1-%d", i/8), zone: *zone, cpu: *cpu, memMb: *memMb, maxLeaseMs: *lease})
		}
		err = serveWorkers(*storeAddress, workers)
	case "case":
		os.Exit(runCase(fs.Arg(0), fs.Arg(1)))
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

// kindOf returns the kind of a worker: the first one is of a kind of its own.
func kindOf(i int) string {
	if i == 0 {
		return "b"
	}
	return "a"
}

func workerAddress(network, i int) string { return fmt.Sprintf("127.%d.2.%d:18423", network, i+1) }

// appendRecord appends a keyed record to a topic of the store.
func appendRecord(address, topic, key string, value []byte) error {
	body := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	body = append(body, byte(len(key)))
	body = append(append(body, key...), value...)
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Post("http://"+address+"/-/log-append?part=0&topic="+url.QueryEscape(topic), "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("append: status %d", resp.StatusCode)
	}
	return nil
}

// Times of the advice service and of its tickets, as of the queue `retrain`.
const (
	decisionMs = 470.0
	periodMs   = 6.8
	validityMs = 1500
)

// ticketOf is the ticket of a step for a worker.
func ticketOf(step, worker string) string { return step + "/" + worker }

// serveAdvice serves the advice service, which handles one call at a time for each caller; the callers
// share one address here, so that calls are told apart by their connection.
func serveAdvice(address string, good float64) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		time.Sleep(time.Duration((decisionMs + periodMs*float64(len(in.Workers))) * float64(time.Millisecond)))
		allowed := [][2]string{}
		for _, id := range in.Workers {
			h := fnv.New32a()
			_, _ = h.Write([]byte(in.Step + id))
			if float64(h.Sum32()%1000) < 1000*good {
				allowed = append(allowed, [2]string{id, ticketOf(in.Step, id)})
			}
		}
		answer(w, http.StatusOK, map[string]any{"allowed": allowed, "validityMs": validityMs})
	})
	return http.ListenAndServe(address, mux)
}
