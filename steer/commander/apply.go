package commander

import (
	"strings"
	"time"

	"samphiremux/entry/reflector"
	"samphiremux/entry/snapshotter"
	"samphiremux/platform/translator"
)

// removalDelay returns how long the removal of a key is delayed after the store was
// unavailable. Keys of backend servers wait until the servers have had time to
// register again.
func (e *entry) removalDelay(key string) time.Duration {
	if translator.IsServerKey(key) {
		return e.settings.Load().Bounds.ReregisterWindow
	}
	return 0
}

// applyChange applies a change of the store: of an entry, a move record, the
// configuration, a backend server, a move order or a failure domain.
func (e *entry) applyChange(now time.Time, c reflector.Change) {
	if e.enroller.ApplyChange(now, c.Key, c.Value, c.Deleted) {
		return
	}
	if service, ok := strings.CutPrefix(c.Key, movePrefix); ok {
		e.applyMoveRecord(service, c)
		return
	}
	u, ok, err := translator.Translate(now, translator.Change{
		Key: c.Key, Value: c.Value, Revision: int64(c.Revision), Deleted: c.Deleted,
	})
	if err != nil {
		e.log.Warn("Change of the store is invalid.", "revision", c.Revision, "error", err)
	}
	if !ok {
		return
	}
	switch u := u.(type) {
	case translator.ConfigurationChanged:
		if err := e.snapshots.SetTable(u.Table); err != nil {
			e.log.Warn("Configuration refused.", "error", err)
			return
		}
		e.log.Info("Configuration in force.", "version", u.Table.Version, "revision", c.Revision)
	case translator.ServerRegistered:
		e.snapshots.PutServer(u.Server)
		e.log.Debug("Backend server registered.", "server", u.Server.ID, "service", u.Server.Service,
			"version", u.Server.Version, "domain", u.Server.Domain, "draining", u.Server.Draining, "revision", c.Revision)
	case translator.ServerRemoved:
		e.snapshots.RemoveServer(u.ID)
		e.log.Debug("Backend server removed.", "server", u.ID, "revision", c.Revision)
	case translator.MoveOrdered:
		e.snapshots.SetOrder(u.Order)
	case translator.MoveOrderWithdrawn:
		e.snapshots.RemoveOrder(u.Service)
		e.log.Info("Move order withdrawn.", "service", u.Service)
	case translator.DomainOut:
		e.snapshots.SetDomainExcluded(u.Domain, u.Out)
		e.log.Info("Failure domain changed.", "domain", u.Domain, "out", u.Out)
	}
}

// applyMoveRecord applies a change of a move record. Removals are ignored.
func (e *entry) applyMoveRecord(service string, c reflector.Change) {
	if c.Deleted {
		return
	}
	r, err := snapshotter.DecodeMoveRecord(c.Value)
	if err != nil {
		e.log.Error("Move record is invalid; ignored.", "service", service, "error", err)
		return
	}
	e.snapshots.SetMoveRecord(service, r)
}
