//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// entryLifetime is how long the entry of a silent worker stays: three heartbeat intervals.
const entryLifetime = 4500 * time.Millisecond

// store is a stand-in of the platform's metadata store: keyed topics with one partition in memory.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// written holds when each worker last wrote its entry.
	written map[string]time.Time
}

type topic struct {
	records   []record
	newest    map[string]int
	producers map[string]*producer
	grown     chan struct{}
}

type record struct {
	raw   []byte
	key   string
	value []byte
}

// producer is the state of a fenced producer. last holds the answers to its last five appends.
type producer struct {
	epoch, seq uint64
	started    bool
	last       map[uint64][2]int
}

func serveStore(address string) error {
	s := &store{topics: map[string]*topic{}, written: map[string]time.Time{}}
	go s.expireEntries()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-newest", s.readNewest)
	mux.HandleFunc("GET /-/log-read", s.read)
	return http.ListenAndServe(address, mux)
}

// topic returns the topic with a name. s.mu must be held.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add appends records. s.mu must be held.
func (t *topic) add(records []record) {
	for _, r := range records {
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = len(t.records)
		}
		t.records = append(t.records, r)
	}
	close(t.grown)
	t.grown = make(chan struct{})
}

func newRecord(key string, value []byte) record {
	raw := append([]byte{byte(len(key))}, key...)
	return record{raw: append(raw, value...), key: key, value: value}
}

// expireEntries removes the entries of workers that are silent.
func (s *store) expireEntries() {
	for range time.Tick(200 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.written {
			if time.Since(at) > entryLifetime {
				delete(s.written, id)
				s.topic("keyed.servers").add([]record{newRecord(id, nil)})
			}
		}
		s.mu.Unlock()
	}
}

func decodeRecords(body []byte) ([]record, bool) {
	var out []record
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n < 1 || n > len(body) || int(body[0]) > n-1 {
			return nil, false
		}
		raw := body[:n]
		body = body[n:]
		end := 1 + int(raw[0])
		out = append(out, record{raw: raw, key: string(raw[1:end]), value: raw[end:]})
	}
	return out, true
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := decodeRecords(body)
	if !ok {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"endOffset": len(t.records)})
		return
	}
	p, seq, done := t.fence(w, r, len(records) == 0)
	if done {
		return
	}
	first := len(t.records)
	if len(records) > 0 {
		t.add(records)
	}
	if p != nil && len(records) > 0 {
		p.seq, p.started = seq, true
		p.last[seq] = [2]int{first, len(t.records)}
		delete(p.last, seq-5)
	}
	if q.Get("topic") == "keyed.servers" {
		for _, rec := range records {
			s.written[rec.key] = time.Now()
		}
	}
	answer(w, http.StatusOK, map[string]any{"offset": first, "endOffset": len(t.records)})
}

// fence checks the producer of an append. done is true if the append has been answered.
func (t *topic) fence(w http.ResponseWriter, r *http.Request, empty bool) (p *producer, seq uint64, done bool) {
	q := r.URL.Query()
	name := q.Get("producer")
	if name == "" {
		return nil, 0, false
	}
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	seq, _ = strconv.ParseUint(q.Get("seqNum"), 10, 64)
	if p = t.producers[name]; p == nil {
		p = &producer{last: map[uint64][2]int{}}
		t.producers[name] = p
	}
	if epoch < p.epoch {
		answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return nil, 0, true
	}
	if epoch > p.epoch {
		*p = producer{epoch: epoch, last: map[uint64][2]int{}}
	}
	if empty || !p.started {
		return p, seq, false
	}
	if offsets, repeated := p.last[seq]; repeated {
		answer(w, http.StatusOK, map[string]any{"offset": offsets[0], "endOffset": offsets[1]})
		return nil, 0, true
	}
	if seq != p.seq+1 {
		answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seqNum": p.seq + 1})
		return nil, 0, true
	}
	return p, seq, false
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > q.Get("dependsOn") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), 500)] {
		at := t.newest[k]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(t.records[at].value), "offset": at})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(keys) > 500, "endOffset": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, grown := len(t.records), t.grown
		if from < end || waitMs == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, rec := range t.records[min(from, end):] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(rec.raw)))
				body = append(body, rec.raw...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-grown:
		case <-timeout:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}
