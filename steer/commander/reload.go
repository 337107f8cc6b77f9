package commander

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"samphiremux/platform/translator"
)

// settingsPollInterval is the time between two reads of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file on SIGHUP and at regular intervals until ctx
// ends. Addresses stay as they were at the start.
func (e *entry) watchSettings(ctx context.Context, file string) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-sighup:
			e.log.Info("Reloading the settings on SIGHUP.")
		case <-t.C:
		case <-ctx.Done():
			return
		}
		e.reload(file)
	}
}

// reload reads the settings file and applies it if it has changed. If the file is
// invalid, the settings in force stay.
func (e *entry) reload(file string) {
	s, err := translator.ReadSettings(file)
	if err != nil {
		e.log.Error("Settings file is invalid; the settings in force stay.", "error", err)
		return
	}
	if reflect.DeepEqual(s, *e.settings.Load()) {
		return
	}
	e.settings.Store(&s)
	e.gauger.SetRate(s.LinkRate)
	e.log.Info("Settings changed.", "file", file)
}
