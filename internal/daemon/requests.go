package daemon

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkinvalve/internal/api"
	"catkinvalve/internal/core/model"
)

// requestFromAPI converts a submission. Idempotent defaults to the service's setting.
// A repeated submission must have the same fingerprint, which leaves out the wait,
// the issue time and the deadline.
func (d *Daemon) requestFromAPI(r api.SubmitRequest) model.Request {
	req := model.Request{
		Key: r.Key, Service: r.Service, Team: r.Team, Tasks: r.Tasks,
		RunTime: time.Duration(r.RunMS) * time.Millisecond, Payload: r.Payload,
	}
	if r.Size != nil {
		req.Size = *r.Size
	}
	if r.Deadline != nil {
		req.Deadline = *r.Deadline
	}
	if r.IssuedAt != nil {
		req.IssuedAt = *r.IssuedAt
	}
	req.Fingerprint = fingerprint(r)
	if r.Idempotent != nil {
		req.Idempotent = *r.Idempotent
	} else if cfg, _ := d.config.active(); cfg != nil {
		if s := cfg.Service(r.Service); s != nil {
			req.Idempotent = s.Idempotent
		}
	}
	return req
}

// fingerprint returns a hash of the fields that a repeated submission must repeat, or
// 0 if they cannot be encoded.
func fingerprint(r api.SubmitRequest) uint64 {
	r.WaitMS, r.IssuedAt, r.Deadline = 0, nil, nil
	b, err := json.Marshal(r)
	if err != nil {
		return 0
	}
	h := xxhash.New()
	_, _ = h.Write(b)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(r.Payload))))
	return h.Sum64()
}

// statusOf converts a record to its form in the API.
func (d *Daemon) statusOf(rec *model.Record) api.RequestStatus {
	home, _ := d.home(rec.Request.Key)
	s := api.RequestStatus{
		Key: rec.Request.Key, Service: rec.Request.Service, Team: rec.Request.Team, Class: rec.Request.Class,
		Side: rec.Side, Fate: rec.Fate, OK: rec.OK, Reason: rec.Reason, Answer: rec.Answer, AnswerDropped: rec.AnswerDropped, Home: home, AcceptedAt: rec.Accepted,
	}
	if !rec.Started.IsZero() {
		s.StartedAt = &rec.Started
	}
	if !rec.Ended.IsZero() {
		s.EndedAt = &rec.Ended
	}
	for i, t := range rec.Tasks {
		s.Tasks = append(s.Tasks, api.TaskStatus{Index: i, State: t.State, Worker: t.Worker, Attempt: t.Attempt})
	}
	return s
}
