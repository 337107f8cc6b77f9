package commander

import (
	"errors"
	"strings"
	"time"

	"samphiremux/entry/reflector"
	"samphiremux/entry/snapshotter"
	"samphiremux/pkg/describer"
	"samphiremux/pkg/storer"
	"samphiremux/platform/translator"
)

// holdTime returns how long the removal of a key is held back after the store was
// unavailable, or any change of it after the store was restored from a copy. Keys of
// backend servers wait until the servers have had time to register again, and after a
// restore all keys that others write, unless their values have versions. The project's
// own keys do not wait.
func (e *entry) holdTime(key string, restored bool) time.Duration {
	ownOrVersioned := strings.HasPrefix(key, translator.ProjectKeyPrefix) || translator.IsVersionedKey(key)
	if translator.IsServerKey(key) || (restored && !ownOrVersioned) {
		return e.settings.Load().Bounds.ReregisterWindow
	}
	return 0
}

// applyChange applies a change of the store: of an entry, a quarantined request, a move
// record, the configuration, a backend server, a move order or a failure domain.
func (e *entry) applyChange(now time.Time, c reflector.Change) {
	if e.enroller.ApplyChange(now, c.Key, c.Value, c.Deleted) {
		return
	}
	if e.persister.ApplyChange(c.Key, c.Value, c.Deleted) {
		return
	}
	if service, ok := strings.CutPrefix(c.Key, movePrefix); ok {
		e.applyMoveRecord(now, service, c)
		return
	}
	u, ok, err := translator.Translate(now, translator.Change{
		Key: c.Key, Value: c.Value, Revision: int64(c.Revision), Deleted: c.Deleted,
	})
	if err != nil {
		e.invalidChanges.Add(1)
		e.log.Warn("Change of the store is invalid.", "revision", c.Revision.Number(), "error", err)
	}
	if !ok {
		return
	}
	switch u := u.(type) {
	case translator.ConfigurationChanged:
		e.applyTable(u.Table, c.Revision)
	case translator.ServerRegistered:
		e.snapshots.PutServer(u.Server)
		e.log.Debug("Backend server registered.", "server", u.Server.ID, "service", u.Server.Service,
			"version", u.Server.Version, "domain", u.Server.Domain, "draining", u.Server.Draining, "revision", c.Revision.Number())
	case translator.ServerRemoved:
		e.snapshots.RemoveServer(u.ID)
		e.log.Debug("Backend server removed.", "server", u.ID, "revision", c.Revision.Number())
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

// applyTable puts a newer configuration into force. After a restore of the store the one in
// force is written again, and an older one may be listed.
func (e *entry) applyTable(t *describer.RouteTable, at storer.Revision) {
	var stale snapshotter.ErrStaleTable
	err := e.snapshots.SetTable(t)
	switch {
	case err == nil:
		e.log.Info("Configuration in force.", "version", t.Version, "revision", at.Number())
	case errors.As(err, &stale) && stale.Offered == stale.InForce:
	default:
		e.log.Warn("Configuration refused.", "error", err)
	}
}

// applyMoveRecord applies a change of a move record. Removals are ignored.
func (e *entry) applyMoveRecord(now time.Time, service string, c reflector.Change) {
	if c.Deleted {
		return
	}
	r, err := snapshotter.DecodeMoveRecord(now, c.Value)
	if err != nil {
		e.log.Error("Move record is invalid; ignored.", "service", service, "error", err)
		return
	}
	if e.snapshots.SetMoveRecord(service, r) {
		e.log.Warn("Announced rollback dropped; the store holds another end of the move.", "service", service, "phase", r.Phase,
			"step", r.Step, "revision", c.Revision.Number())
	}
}
