// Package telemetry provides the logger, the metrics and the histograms of catkinvalve's
// processes.
package telemetry

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"catkinvalve/internal/fault"
)

// NewLogger returns a logger that writes one JSON object per line to w, each with the
// daemon's ID and data centre. The level is one of logrus's level names; another one is
// an error of kind fault.Malformed. When w is a *LineWriter, lines about details are
// dropped while there are too many.
func NewLogger(w io.Writer, level, daemon, dataCentre string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "use one of error, warn, info, debug", "unknown log level %q", level)
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	var formatter logrus.Formatter = &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}
	if lines, ok := w.(*LineWriter); ok {
		formatter = newSheddingFormatter(formatter, lines)
	}
	logger.SetFormatter(formatter)
	return logger.WithFields(logrus.Fields{"daemon": daemon, "data_centre": dataCentre}), nil
}

// DiscardLogger returns a logger that writes nothing.
func DiscardLogger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(logger)
}
