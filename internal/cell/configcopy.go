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

// The store may serve some topics and turn others away. Daemons that start while
// the operators' topic cannot be read use the copy of the configuration that the
// last leader kept.

const (
	// copyInterval is how often the leader looks whether its copy is behind.
	copyCheckInterval = 300 * time.Millisecond
	// copyKey is the key of the copy.
	copyKey = "config"
)

// keepCopy stores each configuration that comes into force until the lead ends.
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

// storeCopy makes one attempt and reports whether it worked.
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

// readCopy puts the stored copy into force if it is newer.
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
			d.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": r.Key, "error": err.Error()}).Error("the copy of the configuration cannot be read")
			continue
		}
		d.config.applyIfNewer(copied.ToConfig(), "copy")
	}
}
