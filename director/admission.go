package director

import (
	"time"

	"github.com/pimentowind/pimentowind/admitter"
	"github.com/pimentowind/pimentowind/configurer"
)

// admissionSettings returns the settings of the admitter.
func admissionSettings(settings *configurer.PlatformSettings) admitter.Settings {
	return admitter.Settings{
		Enabled:      settings.Admission.Enabled,
		MaxWait:      time.Duration(settings.Admission.MaxWait),
		MaxShedShare: settings.Admission.MaxShedShare,
	}
}

// newAdmitter returns an Admitter whose settings follow those in force.
func newAdmitter(settings *configurer.PlatformSettings, reloader *Reloader) *admitter.Admitter {
	created := admitter.NewAdmitter(admissionSettings(settings))
	reloader.Subscribe(func(settings *configurer.PlatformSettings) { created.SetSettings(admissionSettings(settings)) })
	return created
}
