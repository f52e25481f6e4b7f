package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"catkinvalve/internal/adapters/peerrpc"
	"catkinvalve/internal/api"
	"catkinvalve/internal/core/confirm"
	"catkinvalve/internal/core/model"
	"catkinvalve/internal/core/split"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/peerpb"
	"catkinvalve/internal/text"
)

const (
	configStream = "config"
	// logPageSize bounds the records of one read from the log.
	logPageSize = 256
	// snapshotMaxAge is the age at which a new snapshot is due, long before a log
	// that keeps records for an hour drops the last accepted one.
	snapshotMaxAge = 20 * time.Minute
	// verdictTimeout bounds how long Publish waits for the verdict.
	verdictTimeout = 5 * time.Second
)

// configStore holds the reader of the configuration stream and the active
// configuration.
type configStore struct {
	mu       sync.Mutex
	reader   *confirm.Reader
	cfg      *text.Config
	revision uint64
	// changed is closed and replaced with every update.
	changed chan struct{}
	// parsed caches the last parsed text: validating a publication, deriving its
	// history and activating it all parse the same one. mu guards it.
	parsed parsedText
}

type parsedText struct {
	text string
	cfg  *text.Config
	err  error
}

func newConfigStore() *configStore {
	c := &configStore{changed: make(chan struct{})}
	c.reader = confirm.NewReader(confirm.TextRules{Validate: c.validate, DeriveHistory: c.deriveHistory})
	return c
}

func parseText(s string) parsedText {
	cfg, problems := text.Parse("published text", []byte(s))
	if len(problems) > 0 {
		return parsedText{text: s, err: errors.New(problems[0].String())}
	}
	return parsedText{text: s, cfg: cfg}
}

// parse parses a configuration text, or returns the cached result when the text
// is the one of the last call. The caller holds mu.
func (c *configStore) parse(s string) (*text.Config, error) {
	if c.parsed.text != s || (c.parsed.cfg == nil && c.parsed.err == nil) {
		c.parsed = parseText(s)
	}
	return c.parsed.cfg, c.parsed.err
}

func (c *configStore) validate(s string) error {
	_, err := c.parse(s)
	return err
}

// deriveHistory adds an accepted configuration to the history that later
// revisions need. A text that cannot be parsed leaves the history as it is.
func (c *configStore) deriveHistory(history split.History, at time.Time, s string) split.History {
	cfg, err := c.parse(s)
	if err != nil {
		return history
	}
	shares := make(map[string]int, len(cfg.Services))
	for i := range cfg.Services {
		shares[cfg.Services[i].Name] = cfg.Services[i].NewPercent
	}
	return history.WithRevision(at, split.Revision{NewPercent: shares, OldSlotsPerWorker: int(cfg.OldSystem.SlotsPerWorker), DataCentres: dataCentreNames(cfg)})
}

// dataCentreNames lists the data centres of a configuration.
func dataCentreNames(cfg *text.Config) []model.DataCentre {
	out := make([]model.DataCentre, len(cfg.DataCentres))
	for i := range cfg.DataCentres {
		out[i] = cfg.DataCentres[i].Name
	}
	return out
}

// active returns the active configuration and its revision, or nil and 0.
func (c *configStore) active() (*text.Config, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg, c.revision
}

// update runs fn on the reader and activates the reader's revision if it is
// newer and its text can be parsed. It returns the active configuration, its
// revision and whether it changed.
func (c *configStore) update(fn func(*confirm.Reader)) (*text.Config, uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.reader)
	close(c.changed)
	c.changed = make(chan struct{})
	s := c.reader.State()
	if s.Revision <= c.revision {
		return c.cfg, c.revision, false
	}
	cfg, err := c.parse(s.Text)
	if err != nil {
		return c.cfg, c.revision, false
	}
	c.cfg, c.revision = cfg, s.Revision
	return cfg, s.Revision, true
}

// state returns the reader's state and whether the reader has a baseline.
func (c *configStore) state() (confirm.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.State(), c.reader.HasBaseline()
}

// waitForVerdict waits for the verdict on a publication. It returns false when ctx
// ends first.
func (c *configStore) waitForVerdict(ctx context.Context, id string) (confirm.Verdict, bool) {
	for {
		c.mu.Lock()
		v, ok := c.reader.Verdict(id)
		changed := c.changed
		c.mu.Unlock()
		if ok {
			return v, true
		}
		select {
		case <-ctx.Done():
			return confirm.Verdict{}, false
		case <-changed:
		}
	}
}

// applyConfig runs fn on the configuration reader. A new revision is passed to
// the owner loop, and its number of slots per worker to the old system.
func (d *Daemon) applyConfig(fn func(*confirm.Reader)) {
	if cfg, revision, changed := d.config.update(fn); changed {
		s, _ := d.config.state()
		d.sendControl(configMsg{revision, cfg, s.History})
		d.oldSystem.startReserve(revision, cfg.OldSystem.SlotsPerWorker)
	}
}

// followConfig reads the configuration stream until ctx ends.
func (d *Daemon) followConfig(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		s, _ := d.config.state()
		page, err := d.logService.Read(ctx, configStream, s.NextOffset, logPageSize, d.set.Timings.LogPoll)
		if err != nil {
			d.metrics.logErrors.Inc(1)
			pause.For(ctx, d.set.Timings.LogPoll)
			continue
		}
		d.applyConfig(func(r *confirm.Reader) {
			if first && page.First == 0 {
				r.HandleStreamStart()
			}
			r.HandleTruncation(page.First)
			for _, rec := range page.Records {
				r.Apply(rec.Offset, rec.Time, rec.Data)
			}
		})
		first = false
		d.appendSnapshotIfDue(ctx, len(page.Records) == 0)
		if len(page.Records) == 0 {
			pause.For(ctx, d.set.Timings.LogPoll/5)
		}
	}
}

// appendSnapshotIfDue appends a snapshot of the accepted state when the last one
// has reached snapshotMaxAge and the stream was read to its end (caughtUp). Several
// daemons may do so at the same time, which is harmless, as their snapshots are
// equal. A failed append is repeated after a later read.
func (d *Daemon) appendSnapshotIfDue(ctx context.Context, caughtUp bool) {
	d.config.mu.Lock()
	due := caughtUp && d.config.reader.NeedsSnapshot(d.now(), snapshotMaxAge)
	s := d.config.reader.State()
	d.config.mu.Unlock()
	if !due {
		return
	}
	data, err := json.Marshal(confirm.Record{Snapshot: &s})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := d.logService.Append(ctx, configStream, data); err == nil {
		d.metrics.appends.Inc(1)
	}
}

// fetchNewerConfig fetches the configuration from a peer that has a newer
// revision, in the background and one at a time. It keeps a daemon up to date that
// cannot reach the log.
func (d *Daemon) fetchNewerConfig(revision uint64, from peerrpc.Target) {
	if _, have := d.config.active(); revision <= have || !d.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	d.group.Go(func() {
		defer d.fetchingConfig.Store(false)
		ctx, cancel := context.WithTimeout(d.ctx, recoveryTimeout)
		defer cancel()
		_, have := d.config.active()
		resp, err := d.peers.FetchConfig(ctx, from, &peerpb.FetchConfigRequest{HaveRevision: have})
		if err != nil || len(resp.State) == 0 {
			return
		}
		var s confirm.State
		if json.Unmarshal(resp.State, &s) == nil {
			d.applyConfig(func(r *confirm.Reader) { r.Adopt(s) })
		}
	})
}

// Config returns the accepted configuration text and its revision. It returns a
// fault while the daemon has not read the configuration stream.
func (d *Daemon) Config(context.Context) (api.ConfigDocument, error) {
	s, hasBaseline := d.config.state()
	if !hasBaseline && s.Revision == 0 {
		return api.ConfigDocument{}, fault.New(fault.NotReady, "retry later or at another daemon", "the daemon has not read the configuration stream yet")
	}
	return api.ConfigDocument{Revision: s.Revision, Text: s.Text}, nil
}

// History returns the publications whose verdicts are still stored, newest first.
func (d *Daemon) History(context.Context) (api.History, error) {
	s, _ := d.config.state()
	var h api.History
	for i := len(s.Verdicts) - 1; i >= 0; i-- {
		v := s.Verdicts[i]
		h.Entries = append(h.Entries, api.HistoryEntry{
			PublishID: v.ID, Author: v.Author, Time: v.Time, Accepted: v.Accepted, Revision: v.Revision,
		})
	}
	return h, nil
}

// Publish appends a publication to the log and waits for its verdict. A failed
// append may still have taken effect, so the verdict is awaited in that case too.
func (d *Daemon) Publish(ctx context.Context, p api.PublishRequest) (api.PublishResult, error) {
	if err := parseText(p.Text).err; err != nil {
		return api.PublishResult{}, fault.Wrap(err, fault.Malformed, "run catkinvalve check on the file and correct it", "the text is not valid")
	}
	if _, hasBaseline := d.config.state(); !hasBaseline {
		return api.PublishResult{}, fault.New(fault.NotReady, "retry later or at another daemon", "the daemon has not read the configuration stream yet")
	}
	data, err := json.Marshal(confirm.Record{Publication: &confirm.Publication{ID: p.PublishID, Base: p.Base, Text: p.Text, Author: p.Author}})
	if err != nil {
		return api.PublishResult{}, fault.From(err)
	}
	waitCtx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	_, appendErr := d.logService.Append(waitCtx, configStream, data)
	if appendErr == nil {
		d.metrics.appends.Inc(1)
	} else {
		var cancelWait context.CancelFunc
		waitCtx, cancelWait = context.WithTimeout(waitCtx, 3*d.set.Timings.LogPoll)
		defer cancelWait()
	}
	v, ok := d.config.waitForVerdict(waitCtx, p.PublishID)
	switch {
	case ok && v.Accepted:
		return api.PublishResult{PublishID: v.ID, Accepted: true, Revision: v.Revision}, nil
	case ok:
		return api.PublishResult{PublishID: v.ID, Revision: v.Revision}, nil
	case appendErr != nil:
		return api.PublishResult{}, fault.Wrap(appendErr, fault.LogUnavailable,
			"publish again with the same publish_id once the log answers; it is applied at most once", "the publication may not have reached the log")
	}
	return api.PublishResult{}, fault.New(fault.FateUnknownYet, "publish again with the same publish_id to learn the verdict",
		"the publication is in the log and has no verdict yet")
}
