package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/text"
)

const testText = `{"cell": "c", "data_centres": [{"name": "a", "region": "r"}],
"teams": [{"name": "t", "quota": {"milli_cpu": 1000, "slots": 8}}],
"services": [{"name": "one", "team": "t", "class": "interactive", "size": {"milli_cpu": 10, "mem_mb": 1}, "run_ms": 1, "idempotent": true},
{"name": "two", "team": "t", "class": "batch", "size": {"milli_cpu": 10, "mem_mb": 1}, "run_ms": 1, "idempotent": true}]}`

func options() Options {
	return Options{Servers: []string{"http://127.0.0.1:1"}, Rate: 1000, Count: 200, Duration: time.Minute,
		Connections: 20, Seed: 3, KeyPrefix: "k-", FateTimeout: 5 * time.Second}
}

func arrivals(t *testing.T, o Options) []Arrival {
	t.Helper()
	cfg, problems := text.Parse("test", []byte(testText))
	assert.Equal(t, len(problems), 0, "%v", problems)
	p, err := NewPlan(o, cfg)
	assert.NilError(t, err)
	var out []Arrival
	for a, ok := p.Next(); ok; a, ok = p.Next() {
		out = append(out, a)
	}
	return out
}

// Guards against arrivals that differ between runs of one seed, runs without an end and
// an ignored mix.
func TestPlan(t *testing.T) {
	o := options()
	first := arrivals(t, o)
	assert.Equal(t, len(first), o.Count)
	assert.DeepEqual(t, first, arrivals(t, o))
	o.Seed++
	assert.Assert(t, arrivals(t, o)[0].At != first[0].At)
	o.Count, o.Duration, o.Mix = 0, 500*time.Millisecond, []ServiceWeight{{"one", 0}, {"two", 5}}
	bounded := arrivals(t, o)
	assert.Assert(t, len(bounded) > 400 && len(bounded) < 600, "%d arrivals", len(bounded))
	for _, a := range bounded {
		assert.Equal(t, a.Request.Service, "two")
		assert.Assert(t, a.At < o.Duration)
	}
}

// fakeDaemon answers like a daemon: the first call for a key returns queued, later ones
// return done. Keys that end in 7 are refused.
type fakeDaemon struct {
	mu   sync.Mutex
	seen map[string]int
	// answer returns the answer to a request.
	answer func(r api.SubmitRequest) string
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(api.ConfigDocument{Revision: 1, Text: testText})
		return
	}
	var req api.SubmitRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	d.mu.Lock()
	d.seen[req.Key]++
	n := d.seen[req.Key]
	d.mu.Unlock()
	if strings.HasSuffix(req.Key, "7") {
		e := fault.New(fault.Overloaded, "r", "m")
		w.WriteHeader(e.HTTPStatus())
		_ = json.NewEncoder(w).Encode(e)
		return
	}
	st := api.RequestStatus{Key: req.Key, Team: "t", Class: model.Batch, Fate: model.Queued, AcceptedAt: time.Now()}
	if n > 1 {
		started := st.AcceptedAt.Add(5 * time.Millisecond)
		st.Fate, st.OK, st.StartedAt, st.Answer = model.Done, true, &started, []byte(d.answer(req))
	}
	_ = json.NewEncoder(w).Encode(st)
}

func run(t *testing.T, answer func(api.SubmitRequest) string) Result {
	t.Helper()
	server := httptest.NewServer(&fakeDaemon{seen: map[string]int{}, answer: answer})
	defer server.Close()
	o := options()
	o.Servers = []string{server.URL}
	res, err := Run(context.Background(), o)
	assert.NilError(t, err)
	return res
}

// Guards against requests that are missing from the counts and against quantiles of the
// wrong intervals.
func TestRun(t *testing.T) {
	res := run(t, expectedAnswer)
	assert.Equal(t, res.Planned, 200)
	assert.Equal(t, res.Completed, 180)
	assert.Equal(t, res.Fates[model.Done], 180)
	assert.Equal(t, res.Refused[fault.Overloaded], 20)
	assert.Equal(t, res.Unfinished+res.WrongAnswers, 0)
	assert.Equal(t, len(res.Rows), 1)
	row := res.Rows[0]
	assert.Equal(t, row.Completion.Count, int64(180))
	assert.Assert(t, row.Waiting.P50 >= 4.9 && row.Waiting.P50 <= 5.1, "%v", row.Waiting)
	assert.Assert(t, row.Acceptance.P50 <= row.Completion.P50)
	var out bytes.Buffer
	assert.NilError(t, res.Print(&out))
	assert.Assert(t, strings.Contains(out.String(), "done=180"), out.String())
	assert.NilError(t, res.failure())
}

// Guards against a check that accepts the answer of another request.
func TestWrongAnswersAreCounted(t *testing.T) {
	res := run(t, func(api.SubmitRequest) string { return "answer to another key" })
	assert.Equal(t, res.WrongAnswers, 180)
	assert.Assert(t, res.failure() != nil)
}

// Guards against unbounded runs and malformed mixes.
func TestOptions(t *testing.T) {
	for _, change := range []func(*Options){
		func(o *Options) { o.Rate = 0 },
		func(o *Options) { o.Duration = 0 },
		func(o *Options) { o.Connections = MaxConnections + 1 },
		func(o *Options) { o.FateTimeout = 0 },
		func(o *Options) { o.Servers = nil },
	} {
		o := options()
		change(&o)
		assert.Assert(t, o.validate() != nil)
	}
	for _, s := range []string{"a", "a=x", "a=-1", "a=1,"} {
		_, err := parseMix(s)
		assert.Assert(t, err != nil, s)
	}
	mix, err := parseMix("a=1,b=2")
	assert.NilError(t, err)
	assert.DeepEqual(t, mix, []ServiceWeight{{"a", 1}, {"b", 2}})
}
