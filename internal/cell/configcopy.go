package cell

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/cellpb"
	"catkinvalve/internal/pause"
	"catkinvalve/internal/ports"
)

// The store may serve some topics and refuse calls for others. Daemons that start
// while the topic with the published configuration cannot be read use the copy that
// the last leader stored.

const (
	// copyCheckInterval is how often the leader checks whether its copy is outdated.
	copyCheckInterval = 300 * time.Millisecond
	// copyKey is the key of the copy in ports.ConfigTopic.
	copyKey = "config"
)

// maintainConfigCopy stores a copy of each new active configuration until the
// leadership ends.
func (l *leader) maintainConfigCopy() {
	stored := int64(0)
	for {
		if c := l.d.config.current.Load(); c != nil && c.Version > stored && l.storeConfigCopy(c) {
			stored = c.Version
		}
		if !pause.For(l.ctx, copyCheckInterval) {
			return
		}
	}
}

// storeConfigCopy tries once to store the copy and reports whether it succeeded.
func (l *leader) storeConfigCopy(c *ports.CellConfig) bool {
	value, err := proto.Marshal(cellpb.FromConfig(c))
	if err == nil {
		_, err = l.d.appendOnce(l.ctx, ports.Append{Topic: ports.ConfigTopic, Records: []ports.KeyedRecord{{Key: copyKey, Value: value}}})
	}
	if err != nil {
		l.log.WithFields(logrus.Fields{"event": "config_copy_failed", "version": c.Version, "error": err.Error()}).Debug("cannot store a copy of the configuration")
	}
	return err == nil
}

// readConfigCopy reads the stored copy and applies it if it is newer than the active
// configuration.
func (d *Daemon) readConfigCopy(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	page, err := d.deps.Store.Newest(ctx, ports.ConfigTopic, "")
	if err != nil {
		d.store.recordFailure(err)
		return
	}
	for _, r := range page.Records {
		copied := &cellpb.Config{}
		if err := proto.Unmarshal(r.Value, copied); err != nil {
			d.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": r.Key, "error": err.Error()}).Error("cannot decode the copy of the configuration")
			continue
		}
		d.applyPassedOn(copied, "copy")
	}
}
