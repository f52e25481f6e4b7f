package cell

import (
	"github.com/sirupsen/logrus"

	"catkinvalve/internal/core/model"
	"catkinvalve/internal/ports"
)

// maxProblemLines limits the problems of one version that are logged, so that a configuration with
// thousands of tenants cannot fill the log.
const maxProblemLines = 20

// logConfigProblems logs what is probably wrong with the tenants of a configuration that has just
// been applied. Versions only grow, so that each is logged once by each daemon.
func (d *Daemon) logConfigProblems(c *ports.CellConfig) {
	if c.Tenants == nil {
		return
	}
	problems := c.Tenants.Problems(model.Size{})
	for i, p := range problems {
		log := d.log.WithFields(logrus.Fields{"event": "config_problem", "version": c.Version})
		if i == maxProblemLines {
			log.WithField("count", len(problems)-i).Warn("further problems of the configuration are not logged; use catkinvalve check --platform")
			return
		}
		log.WithFields(logrus.Fields{"tenant": p.Tenant, "detail": p.Detail, "remedy": p.Remedy}).Warn("the configuration has a problem")
	}
}
