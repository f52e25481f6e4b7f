package cell

import (
	"encoding/json"
)

// replyWithTenants answers with the state of all tenants.
func (l *leader) replyWithTenants(m callMsg) {
	report, err := json.Marshal(l.core.Tenants())
	if err != nil {
		l.log.WithError(err).Error("cannot encode the state of the tenants")
		l.reply(m.origin, Reply{Verdict: VerdictUnavailable, Reason: "report_unencodable"})
		return
	}
	l.reply(m.origin, Reply{Report: report})
}
