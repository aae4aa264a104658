package director

import (
	"os"
	"reflect"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/logger"
)

// settingsCheckInterval is how often the settings file is checked for a change
// without a signal.
const settingsCheckInterval = 2 * time.Second

// Reloader holds the settings in force and reloads them when their file changes.
// It is safe for concurrent use.
type Reloader struct {
	file     string // path of the settings file
	recorder *Recorder

	mutex       sync.Mutex
	current     *configurer.PlatformSettings                  // in force
	modifiedAt  time.Time                                     // of the file when it was last read
	subscribers []func(settings *configurer.PlatformSettings) // called after each reload
}

// NewReloader returns a Reloader of file; settings are what was read from it.
func NewReloader(file string, settings *configurer.PlatformSettings, recorder *Recorder) *Reloader {
	reloader := &Reloader{file: file, recorder: recorder, current: settings}
	if modified, err := reloader.modificationTime(); err == nil {
		reloader.modifiedAt = modified // otherwise the next check reloads the file
	}
	return reloader
}

// Current returns the settings in force.
func (reloader *Reloader) Current() *configurer.PlatformSettings {
	reloader.mutex.Lock()
	defer reloader.mutex.Unlock()
	return reloader.current
}

// Subscribe registers apply, which is called with the settings after each reload;
// apply must not call the Reloader.
func (reloader *Reloader) Subscribe(apply func(settings *configurer.PlatformSettings)) {
	reloader.mutex.Lock()
	defer reloader.mutex.Unlock()
	reloader.subscribers = append(reloader.subscribers, apply)
}

// CheckFile reloads the settings if the modification time of the file has changed
// since it was last read.
func (reloader *Reloader) CheckFile(time.Time) {
	modified, err := reloader.modificationTime()
	reloader.mutex.Lock()
	unchanged := modified.Equal(reloader.modifiedAt)
	reloader.mutex.Unlock()
	if err != nil || unchanged {
		return // a missing file is checked again at the next call
	}
	reloader.Reload()
}

func (reloader *Reloader) modificationTime() (time.Time, error) {
	info, err := os.Stat(reloader.file)
	if err != nil {
		return time.Time{}, err
	}
	return info.ModTime(), nil
}

// Reload reads the file and applies its settings. Invalid settings are rejected
// and logged, and the current ones stay in force.
func (reloader *Reloader) Reload() {
	reloader.mutex.Lock()
	defer reloader.mutex.Unlock()
	if modified, err := reloader.modificationTime(); err == nil {
		reloader.modifiedAt = modified
	}
	settings, err := configurer.ReadPlatformSettings(reloader.file)
	if err != nil {
		reloader.recorder.Event(logger.EventSettingsRejected, "error", err.Error())
		return
	}
	deferred := restartKeys(reloader.current, settings)
	reloader.current = settings
	for _, apply := range reloader.subscribers {
		apply(settings)
	}
	reloader.recorder.Event(logger.EventSettingsReloaded, "at_next_start", deferred)
}

// restartKeys returns the keys of changed settings that take effect only at the
// next start of the process.
func restartKeys(before, after *configurer.PlatformSettings) []string {
	keys := []string{}
	compare := func(key string, before, after any) {
		if !reflect.DeepEqual(before, after) {
			keys = append(keys, key)
		}
	}
	compare("instance", before.Instance, after.Instance)
	compare("failure_domain", before.FailureDomain, after.FailureDomain)
	compare("address", before.Address, after.Address)
	compare("advertised_address", before.AdvertisedAddress, after.AdvertisedAddress)
	compare("packet_address", before.PacketAddress, after.PacketAddress)
	compare("ready_address", before.ReadyAddress, after.ReadyAddress)
	compare("control_address", before.ControlAddress, after.ControlAddress)
	compare("peer_ports", before.PeerPorts, after.PeerPorts)
	compare("processor_share", before.ProcessorShare, after.ProcessorShare)
	compare("metrics_port", before.MetricsPort, after.MetricsPort)
	compare("log.format", before.Log.Format, after.Log.Format)
	return keys
}
