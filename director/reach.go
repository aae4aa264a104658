package director

import (
	"time"

	"github.com/pimentowind/pimentowind/relayer"
	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// maxCalmAge is the age that the view of an instance does not exceed while it reaches the
	// store, or an instance that does.
	maxCalmAge = relayer.ReadInterval + 400*time.Millisecond
	// answerWindow is how long after an answered opening other domains count as reachable.
	answerWindow = 500 * time.Millisecond
)

// lacksServers reports whether an instance has no server that it may and can send new flows
// to: its own failure domain is evacuated, and it reaches neither the store nor, by its view's
// age and the time since an opening was answered, another domain. The fabric then passes its
// packets to instances of other domains, which reach their servers. If no domain is left, it
// goes on and refuses.
func lacksServers(view *viewer.View, failureDomain string, age, sinceAnswer time.Duration) bool {
	if !view.Evacuations.Contains(failureDomain) || age <= maxCalmAge || sinceAnswer <= answerWindow {
		return false
	}
	return view.HasServerLeft()
}
