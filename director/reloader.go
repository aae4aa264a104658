package director

import (
	"os"
	"reflect"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/logger"
)

// settingsInterval is how often the settings file is looked at for a change
// that no signal announced.
const settingsInterval = 2 * time.Second

// Reloader holds the settings in force and takes changes of their file.
type Reloader struct {
	file     string
	recorder *Recorder

	mutex    sync.Mutex
	current  *configurer.PlatformSettings
	modified time.Time
	apply    []func(settings *configurer.PlatformSettings)
}

// NewReloader returns a Reloader of file, whose settings are settings.
func NewReloader(file string, settings *configurer.PlatformSettings, recorder *Recorder) *Reloader {
	reloader := &Reloader{file: file, recorder: recorder, current: settings}
	if modified, err := reloader.changedAt(); err == nil {
		reloader.modified = modified // else the next look reads the file again
	}
	return reloader
}

// Current returns the settings in force.
func (reloader *Reloader) Current() *configurer.PlatformSettings {
	reloader.mutex.Lock()
	defer reloader.mutex.Unlock()
	return reloader.current
}

// Subscribe has apply called with every new settings.
func (reloader *Reloader) Subscribe(apply func(settings *configurer.PlatformSettings)) {
	reloader.mutex.Lock()
	defer reloader.mutex.Unlock()
	reloader.apply = append(reloader.apply, apply)
}

// CheckFile reloads the file if it has changed since it was last read.
func (reloader *Reloader) CheckFile(time.Time) {
	modified, err := reloader.changedAt()
	reloader.mutex.Lock()
	same := modified.Equal(reloader.modified)
	reloader.mutex.Unlock()
	if err != nil || same {
		return // a file that is away is looked for again
	}
	reloader.Reload()
}

func (reloader *Reloader) changedAt() (time.Time, error) {
	info, err := os.Stat(reloader.file)
	if err != nil {
		return time.Time{}, err
	}
	return info.ModTime(), nil
}

// Reload reads the file; settings with findings are reported and those in force stay.
func (reloader *Reloader) Reload() {
	reloader.mutex.Lock()
	defer reloader.mutex.Unlock()
	if modified, err := reloader.changedAt(); err == nil {
		reloader.modified = modified
	}
	settings, err := configurer.ReadPlatformSettings(reloader.file)
	if err != nil {
		reloader.recorder.Event(logger.EventSettingsRejected, "error", err.Error())
		return
	}
	later := needsRestart(reloader.current, settings)
	reloader.current = settings
	for _, apply := range reloader.apply {
		apply(settings)
	}
	reloader.recorder.Event(logger.EventSettingsReloaded, "at_next_start", later)
}

// needsRestart names the changed settings that the running process goes on without.
func needsRestart(before, after *configurer.PlatformSettings) []string {
	names := []string{}
	compare := func(name string, before, after any) {
		if !reflect.DeepEqual(before, after) {
			names = append(names, name)
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
	compare("metrics_port", before.MetricsPort, after.MetricsPort)
	compare("log.format", before.Log.Format, after.Log.Format)
	return names
}
