package cell

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// reportValidity is the minimum time between two computations of a report.
	reportValidity = time.Second
	// reportTimeDivisor limits the part of the leader loop's time that a report of one kind takes:
	// after a computation none follows for this many times its duration.
	reportTimeDivisor = 100
	// maxReportBytes limits a compressed report, which has to fit with other replies into one message
	// of a link. These have at most 4 MiB; a longer one closes the link.
	maxReportBytes = 2 << 20
	// maxReportJSONBytes limits a decompressed report.
	maxReportJSONBytes = 64 << 20
)

// nextReport returns when a report may be computed again that was computed at now within took.
func nextReport(now time.Time, took time.Duration) time.Time {
	return now.Add(max(reportValidity, took*reportTimeDivisor))
}

// tenantReport is the last report on the tenants. Requests until expires get the same one.
type tenantReport struct {
	expires time.Time
	// encode returns the encoded report. It may be called concurrently.
	encode func() ([]byte, error)
}

// replyWithTenants answers with the state of all tenants. Encoding, which takes longer than the
// report itself, is done outside of the leader loop.
func (l *leader) replyWithTenants(now time.Time, m callMsg) {
	if !now.Before(l.tenantReport.expires) {
		start := time.Now()
		tenants := l.core.Tenants()
		l.tenantReport = tenantReport{nextReport(now, time.Since(start)), sync.OnceValues(func() ([]byte, error) { return encodeReport(tenants) })}
	}
	encode := l.tenantReport.encode
	l.goroutines.Go(func() { l.replyWithReport(m.origin, encode) })
}

// replyWithReport answers a call with a report.
func (l *leader) replyWithReport(to callOrigin, encode func() ([]byte, error)) {
	report, err := encode()
	if err != nil {
		l.log.WithFields(logrus.Fields{"event": "report_failed", "error": err.Error()}).Error("cannot encode a report")
		l.reply(to, Reply{Verdict: VerdictUnavailable, Reason: "report_unencodable"})
		return
	}
	l.reply(to, Reply{Report: report})
}

// encodeReport returns a report as JSON that is compressed with gzip.
func encodeReport(report any) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	err := json.NewEncoder(w).Encode(report)
	if err = errors.Join(err, w.Close()); err != nil {
		return nil, err
	}
	if out.Len() > maxReportBytes {
		return nil, fmt.Errorf("the report has %d bytes, more than %d; remove tenants that are not used", out.Len(), maxReportBytes)
	}
	return out.Bytes(), nil
}

// decompressReport returns a reply whose report is the JSON document.
func decompressReport(r Reply) Reply {
	if r.Verdict != VerdictOK {
		return r
	}
	reader, err := gzip.NewReader(bytes.NewReader(r.Report))
	if err != nil {
		return Reply{Verdict: VerdictUnavailable, Reason: "report_unreadable"}
	}
	r.Report, err = io.ReadAll(io.LimitReader(reader, maxReportJSONBytes))
	if err != nil {
		return Reply{Verdict: VerdictUnavailable, Reason: "report_unreadable"}
	}
	return r
}
