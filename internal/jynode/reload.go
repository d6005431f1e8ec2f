package jynode

import (
	"context"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/internal/jysettings"
)

// settingsInterval is how often the settings file is looked at, since it may change without a signal.
const settingsInterval = 2 * time.Second

// settingsWatch reads the settings file again when a signal says so or the file changes.
type settingsWatch struct {
	node   *Node
	path   string
	signal <-chan os.Signal
	seen   time.Time
}

// WatchSettings makes the instance read its settings file again on each signal and after each change of the file.
func (n *Node) WatchSettings(path string, reload <-chan os.Signal) error {
	return n.kernel.Register(ServiceSettings, &settingsWatch{node: n, path: path, signal: reload, seen: changedAt(path)})
}

// Run watches until ctx ends.
func (w *settingsWatch) Run(ctx context.Context) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.signal:
			w.reload()
		case <-ticker.C:
			if !changedAt(w.path).Equal(w.seen) {
				w.reload()
			}
		}
	}
}

func changedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		// A file that cannot be seen now is read when it can be again.
		return time.Time{}
	}
	return info.ModTime()
}

// reload puts new settings in force, as far as they can change while the instance runs; faulty ones change nothing.
func (w *settingsWatch) reload() {
	w.seen = changedAt(w.path)
	next, faults, err := jysettings.Load(w.path)
	if err != nil {
		jylog.SettingsRefused.Log(err)
		return
	}
	if len(faults) > 0 {
		jylog.SettingsRefused.Log(faults[0])
		return
	}
	changed := changedFields(w.node.settings, next)
	w.node.fleet.SetSeeds(next.Seeds)
	w.node.settings.Seeds = next.Seeds
	jylog.SettingsReloaded.Log(strings.Join(changed, ","))
}

// changedFields names the settings that differ.
func changedFields(old, next jysettings.Settings) []string {
	var out []string
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			out = append(out, a.Type().Field(i).Name)
		}
	}
	return out
}
