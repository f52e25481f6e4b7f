//go:build review3

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as a small deployment's settings state them.
const (
	recordBytes  = 262144
	requestBytes = 2097152
	storeLatency = 4 * time.Millisecond
	pageKeys     = 500
	pageBytes    = 1 << 20
	dedupAppends = 5
)

type record struct {
	key    string
	value  []byte
	offset int64
}

// topic is partition 0 of a keyed topic.
type topic struct {
	end    int64
	newest map[string]record
	// kept is set for the topics of which all records stay readable.
	kept    bool
	log     []record
	epoch   uint64
	lastSeq uint64
	offsets map[uint64]int64
	grown   chan struct{}
}

// store is a stand-in of the platform's metadata store that serves keyed topics.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// tooLarge counts the appends that were refused because of a record's size, and largest is the size
	// of the largest record that was appended.
	tooLarge, appends int
	largest           int
	largestKey        string
	// refuse, if set, reports whether a call of a daemon is refused with 503.
	refuse func(daemon int) bool
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}, offsets: map[uint64]int64{}, grown: make(chan struct{}),
			kept: name == "keyed.op" || name == "keyed.servers"}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator or a worker does.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).add([]record{{key: key, value: value}})
}

func (t *topic) add(records []record) int64 {
	first := t.end
	for _, r := range records {
		r.offset = t.end
		t.end++
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
		if t.kept {
			t.log = append(t.log, r)
		}
	}
	close(t.grown)
	t.grown = make(chan struct{})
	return first
}

// handler returns the handler of the calls of one daemon.
func (s *store) handler(daemon int) http.Handler {
	m := http.NewServeMux()
	wrap := func(f http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeLatency)
			s.mu.Lock()
			refuse := s.refuse
			s.mu.Unlock()
			if refuse != nil && refuse(daemon) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			f(w, r)
		}
	}
	m.HandleFunc("POST /-/log-append", wrap(s.append))
	m.HandleFunc("GET /-/log-newest", wrap(s.readNewest))
	m.HandleFunc("GET /-/log-read", wrap(s.read))
	return m
}

func reply(w http.ResponseWriter, status int, v any) {
	body, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	records, tooLarge, ok := parseRecords(body, strings.HasPrefix(q.Get("topic"), "keyed."))
	if tooLarge || len(body) > requestBytes {
		s.tooLarge++
	}
	if !ok || tooLarge || len(body) > requestBytes {
		reply(w, http.StatusBadRequest, map[string]any{"reason": "size"})
		return
	}
	for _, rec := range records {
		if n := len(rec.key) + len(rec.value) + 1; n > s.largest {
			s.largest, s.largestKey = n, rec.key
		}
	}
	t := s.topic(q.Get("topic"))
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(t.end, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"endOffset": t.end})
		return
	}
	if q.Get("producer") != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseUint(q.Get("seqNum"), 10, 64)
		if epoch < t.epoch {
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch > t.epoch {
			t.epoch, t.lastSeq, t.offsets = epoch, 0, map[uint64]int64{}
		}
		if len(records) > 0 {
			if first, repeated := t.offsets[seq]; repeated {
				reply(w, http.StatusOK, map[string]any{"offset": first, "endOffset": first + int64(len(records))})
				return
			}
			if t.lastSeq != 0 && seq != t.lastSeq+1 {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seqNum": t.lastSeq + 1})
				return
			}
			t.lastSeq, t.offsets[seq] = seq, t.end
			delete(t.offsets, seq-dedupAppends)
		}
	}
	first := t.end
	if len(records) > 0 {
		t.add(records)
	}
	reply(w, http.StatusOK, map[string]any{"offset": first, "endOffset": t.end})
}

func parseRecords(body []byte, keyed bool) (out []record, tooLarge, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) || n == 0 {
			return nil, false, false
		}
		tooLarge = tooLarge || n > recordBytes
		rec := body[:n]
		body = body[n:]
		if !keyed {
			out = append(out, record{value: append([]byte(nil), rec...)})
			continue
		}
		k := int(rec[0])
		if 1+k > len(rec) {
			return nil, tooLarge, false
		}
		out = append(out, record{key: string(rec[1 : 1+k]), value: append([]byte(nil), rec[1+k:]...)})
	}
	return out, tooLarge, true
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	q := r.URL.Query()
	after := q.Get("dependsOn")
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, k := range keys {
		v := t.newest[k]
		if len(items) == pageKeys || len(items) > 0 && size+len(v.value) > pageBytes {
			more = true
			break
		}
		size += len(v.value)
		items = append(items, item{k, base64.StdEncoding.EncodeToString(v.value), v.offset})
	}
	end := t.end
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, grown := t.end, t.grown
		if from < end && !t.kept {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"firstOffset": end})
			return
		}
		var page []record
		if from < end {
			page = t.log[from:]
		}
		s.mu.Unlock()
		wait := time.Until(until)
		if len(page) > 0 || wait <= 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, rec := range page {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
				body = append(append(append(body, byte(len(rec.key))), rec.key...), rec.value...)
			}
			_, _ = w.Write(body)
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-grown:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}
