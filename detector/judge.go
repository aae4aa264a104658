package detector

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// answerTime is how long a leader waits for a sign of life before it declares a server
	// silent. It asks twice in this time, since datagrams get lost.
	answerTime = 200 * time.Millisecond
	// repeatTime is the time between the two questions.
	repeatTime = 100 * time.Millisecond
	// minSilence is the shortest time without a sign of life after which a server is declared
	// silent.
	minSilence = 600 * time.Millisecond
	// questionLifetime is how long a question holds. A leader may have been held up since, or
	// have declared nothing as too many servers looked silent.
	questionLifetime = 2 * answerTime
	// minData is how many flows have to have an unanswered copy of data, and minInstances how many
	// instances have to have seen that a server leaves flows unanswered.
	minData      = 2
	minInstances = 2
	// minFlowsAlone is how many flows have to be unanswered, openings included, where the failure
	// domain has no other instance.
	minFlowsAlone = 3
)

// candidate is a server of which a leader has signs of silence.
type candidate struct {
	signs    map[instanceFlow]waiting
	hintedAt time.Time // when another failure domain told that it is silent for it; zero if none did
	askedAt  time.Time // of the first question; zero before it
	since    time.Time // that it asked for life after
	repeated bool      // the question was asked again
	hold     holding   // for openings
}

// instanceFlow identifies a flow as one instance sees it.
type instanceFlow struct {
	instance string // empty for this one
	flow     uint32
}

// count adds signs that an instance reports to the candidates. The mutex must be held.
func (detector *Detector) count(instance string, signs []Unanswered, now time.Time) {
	for _, sign := range signs {
		if detector.IsSilent(sign.Server, now) || !sign.Opening && sign.Asked == 0 {
			continue
		}
		found, flow := detector.candidate(sign.Server), instanceFlow{instance: instance, flow: sign.Flow}
		if _, known := found.signs[flow]; known || len(found.signs) < maxEntries {
			copiedAt := now.Add(-sign.Delay)
			unanswered := sign.Asked
			if sign.Opening {
				unanswered = sign.For
			}
			found.signs[flow] = waiting{since: copiedAt.Add(-unanswered), copiedAt: copiedAt, waitedFor: sign.For, isOpening: sign.Opening, isEjected: sign.Ejected}
		}
	}
}

// candidate returns the candidate for a server, new if there is none. The mutex must be held.
func (detector *Detector) candidate(server Server) *candidate {
	found := detector.candidates[server]
	if found == nil {
		found = &candidate{signs: map[instanceFlow]waiting{}}
		detector.candidates[server] = found
	}
	return found
}

// noteHints notes the declarations of another failure domain. They hold only there, but make fewer
// signs enough here. The mutex must be held.
func (detector *Detector) noteHints(silent []ServerAge, sentBy, now time.Time) {
	for _, entry := range silent {
		if detector.counts(entry.Server, sentBy.Add(-entry.Age)) && !detector.IsSilent(entry.Server, now) {
			detector.candidate(entry.Server).hintedAt = now
		}
	}
}

// judge returns the questions and the declarations that are due, and puts the latter in force
// here; every answer that arrived before drained has been received. The mutex must be held.
func (detector *Detector) judge(place Place, now, drained time.Time) []Outgoing {
	if len(detector.candidates) == 0 {
		return nil
	}
	var message Message
	suspected := len(*detector.silent.Load())
	for server, candidate := range detector.candidates {
		if !detector.counts(server, candidate.since) || now.Sub(candidate.askedAt) > questionLifetime {
			candidate.askedAt, candidate.repeated = time.Time{}, false // what remains needs another question
		}
		evidence := detector.weigh(server, candidate, now)
		if !evidence.suffices(place) || !detector.counts(server, now.Add(-minSilence)) {
			candidate.askedAt, candidate.repeated = time.Time{}, false
			continue
		}
		suspected++
		if candidate.askedAt.IsZero() {
			candidate.since = now.Add(-max(evidence.Since, minSilence))
		}
		entry := ServerAge{Server: server, Age: now.Sub(candidate.since)}
		switch asked := drained.Sub(candidate.askedAt); {
		case candidate.askedAt.IsZero():
			candidate.askedAt = now
			message.Questions = append(message.Questions, entry)
		case asked >= answerTime && candidate.repeated:
			message.Silent = append(message.Silent, entry)
		case asked >= repeatTime && !candidate.repeated:
			candidate.repeated = true
			message.Questions = append(message.Questions, entry)
		}
	}
	if float64(suspected) > max(minSilent, maxSilentShare*float64(place.Servers)) {
		message.Silent = nil
	}
	detector.judgeHolds(&message, place, now, drained)
	return detector.declare(message, now)
}

// declare puts the declarations of a message in force here, and returns the messages that carry
// it. The mutex must be held.
func (detector *Detector) declare(message Message, now time.Time) []Outgoing {
	for _, entry := range message.Silent {
		evidence := detector.weigh(entry.Server, detector.candidates[entry.Server], now)
		detector.observer.ServerSilent(entry.Server, evidence.Evidence)
		delete(detector.candidates, entry.Server)
	}
	detector.apply(message.Silent, now, now)
	var outgoing []Outgoing
	for list := message.Questions; len(list) > 0; list = list[min(maxEntries, len(list)):] {
		outgoing = append(outgoing, Outgoing{Audience: Everyone, Message: Message{Questions: list[:min(maxEntries, len(list))]}})
	}
	for list := message.Silent; len(list) > 0; list = list[min(maxEntries, len(list)):] {
		outgoing = append(outgoing, Outgoing{Audience: Everyone, Message: Message{Silent: list[:min(maxEntries, len(list))]}})
	}
	for list := message.Holds; len(list) > 0; list = list[min(maxEntries, len(list)):] {
		outgoing = append(outgoing, Outgoing{Audience: Everyone, Message: Message{Holds: list[:min(maxEntries, len(list))]}})
	}
	return outgoing
}

// weighed is the evidence against a server. A server that lives may leave openings unanswered while it
// is full, but not a copy of data.
type weighed struct {
	Evidence
	data int // flows with an unanswered copy of data
}

// weigh returns the evidence against a server, after dropping the signs that are too old or that
// a sign of life has refuted. The mutex must be held.
func (detector *Detector) weigh(server Server, candidate *candidate, now time.Time) weighed {
	var weighed weighed
	instances, flows := map[string]time.Duration{}, map[uint32]bool{} // routers may move a flow to another instance
	for flow, waiting := range candidate.signs {
		isRefuted := !detector.counts(server, waiting.since) || !waiting.isOpening && !detector.countsData(server, waiting.since)
		if isRefuted || now.Sub(waiting.copiedAt) > waiting.memory() {
			delete(candidate.signs, flow)
			continue
		}
		if !candidate.askedAt.IsZero() && waiting.since.Before(candidate.since) {
			continue // nobody was asked for life since then
		}
		instances[flow.instance] = max(instances[flow.instance], waiting.waitedFor)
		flows[flow.flow] = flows[flow.flow] || !waiting.isOpening
		weighed.Longest = max(weighed.Longest, waiting.waitedFor)
		weighed.Since = max(weighed.Since, now.Sub(waiting.since))
	}
	for _, hasData := range flows {
		if hasData {
			weighed.data++
		}
	}
	weighed.Instances, weighed.Flows, weighed.From = len(instances), len(flows), namesWithWaits(instances)
	weighed.Openings = weighed.Flows - weighed.data
	weighed.Hinted = !candidate.hintedAt.IsZero() && now.Sub(candidate.hintedAt) <= signMemory && detector.counts(server, candidate.hintedAt.Add(-minSilence))
	return weighed
}

// namesWithWaits returns the names of the instances that saw the longest waits, with these.
func namesWithWaits(waits map[string]time.Duration) string {
	names := slices.SortedFunc(maps.Keys(waits), func(a, b string) int {
		return cmp.Or(cmp.Compare(waits[b], waits[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, name := range names[:min(len(names), maxNamed)] {
		parts = append(parts, fmt.Sprintf("%s:%dms", cmp.Or(name, ownName), waits[name].Milliseconds()))
	}
	return strings.Join(parts, " ")
}

// suffices reports whether the evidence is enough to ask for signs of life. Without data the server
// may serve its flows and take no new ones. A single flow may have lost all copies or their answers, so
// a second one has to agree, or another failure domain has to have declared the same.
func (weighed *weighed) suffices(place Place) bool {
	switch {
	case weighed.data == 0:
		return false
	case weighed.Hinted:
		return true
	case weighed.data < minData:
		return false
	case place.DomainInstances == 1:
		return weighed.Flows >= minFlowsAlone
	}
	return weighed.Instances >= minInstances
}

func (candidate *candidate) isOld(now time.Time) bool {
	isHeld := now.Sub(candidate.hold.until) <= signMemory || now.Sub(candidate.hold.hintedAt) <= signMemory
	if isHeld || now.Sub(candidate.hintedAt) <= signMemory {
		return false
	}
	for _, waiting := range candidate.signs {
		if now.Sub(waiting.copiedAt) <= signMemory {
			return false
		}
	}
	return true
}
