package commander

import (
	"strings"
	"time"

	"samphiremux/entry/reflector"
	"samphiremux/entry/snapshotter"
	"samphiremux/platform/translator"
)

// hold tells how long the removal of a key waits after the store was out.
func (e *entry) hold(key string) time.Duration {
	if translator.IsServerKey(key) {
		return e.settings.Load().Bounds.ReregisterWindow
	}
	return 0
}

// take brings a change of the store into force.
func (e *entry) take(now time.Time, c reflector.Change) {
	if e.enroll.ApplyChange(now, c.Key, c.Value, c.Deleted) {
		return
	}
	if service, ok := strings.CutPrefix(c.Key, movePrefix); ok {
		e.takeRecord(service, c)
		return
	}
	u, ok, err := translator.Translate(now, translator.Change{
		Key: c.Key, Value: c.Value, Revision: int64(c.Revision), Deleted: c.Deleted,
	})
	if err != nil {
		e.log.Warn("Change not readable.", "revision", c.Revision, "error", err)
	}
	if !ok {
		return
	}
	switch u := u.(type) {
	case translator.ConfigurationChanged:
		if err := e.survey.SetTable(u.Table); err != nil {
			e.log.Warn("Configuration refused.", "error", err)
			return
		}
		e.log.Info("Configuration in force.", "version", u.Table.Version, "revision", c.Revision)
	case translator.ServerRegistered:
		e.survey.PutServer(u.Server)
		e.log.Debug("Backend server registered.", "server", u.Server.ID, "service", u.Server.Service,
			"version", u.Server.Version, "domain", u.Server.Domain, "draining", u.Server.Draining, "revision", c.Revision)
	case translator.ServerRemoved:
		e.survey.RemoveServer(u.ID)
		e.log.Debug("Backend server gone.", "server", u.ID, "revision", c.Revision)
	case translator.MoveOrdered:
		e.survey.SetOrder(u.Order)
	case translator.MoveOrderWithdrawn:
		e.survey.RemoveOrder(u.Service)
		e.log.Info("Order taken back.", "service", u.Service)
	case translator.DomainOut:
		e.survey.SetDomainExcluded(u.Domain, u.Out)
		e.log.Info("Failure domain changed.", "domain", u.Domain, "out", u.Out)
	}
}

// takeRecord brings the state of a version move into force.
func (e *entry) takeRecord(service string, c reflector.Change) {
	if c.Deleted {
		return
	}
	r, err := snapshotter.DecodeMoveRecord(c.Value)
	if err != nil {
		e.log.Error("Record of a version move not readable.", "service", service, "error", err)
		return
	}
	e.survey.SetMoveRecord(service, r)
}
