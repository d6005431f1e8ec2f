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

// settingsPollInterval is how often the settings file is checked, since it may change without a signal.
const settingsPollInterval = 2 * time.Second

// settingsWatcher reloads the settings file on a signal and when the file changes.
type settingsWatcher struct {
	node         *Node
	path         string
	signal       <-chan os.Signal
	lastModified time.Time
}

// WatchSettings makes the instance reload its settings file on each signal and after each change of the file. It must be
// called before Run.
func (n *Node) WatchSettings(path string, reload <-chan os.Signal) error {
	return n.kernel.Register(ServiceSettings, &settingsWatcher{node: n, path: path, signal: reload, lastModified: modifiedAt(path)})
}

// Run watches until ctx ends.
func (w *settingsWatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.signal:
			w.reload()
		case <-ticker.C:
			if !modifiedAt(w.path).Equal(w.lastModified) {
				w.reload()
			}
		}
	}
}

// modifiedAt returns when the file was last modified, or the zero time if it cannot be read.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		// With the zero time, the file counts as changed as soon as it is readable again.
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings that can change while the instance runs, which are the seeds. A file with errors changes nothing.
func (w *settingsWatcher) reload() {
	w.lastModified = modifiedAt(w.path)
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

// changedFields returns the names of the settings that differ.
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
