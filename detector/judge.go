package detector

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
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
	// removedTime is how long the removal of a server from the list is a hint that it is silent.
	removedTime = 10 * time.Second
	// longWait is from when on unanswered data weighs double: it has been retransmitted
	// twice.
	longWait = 550 * time.Millisecond
	// questionLifetime is how long a question holds. A leader may have been held up since, or
	// have declared nothing as too many servers looked silent.
	questionLifetime = 2 * answerTime
	// minWeight is the weight of signs that makes a leader ask for signs of life.
	minWeight = 3
	// hintWeight is the weight of the declaration of another failure domain, and removalWeight
	// that of the removal from the list; living servers are removed too.
	hintWeight    = 2
	removalWeight = 1
	// minWeightAlone is the same for signs of one instance alone, where the failure domain has
	// no other.
	minWeightAlone = 6
	// minFlowsAlone is how many flows these signs must be of.
	minFlowsAlone = 3
)

// candidate is a server of which a leader has signs of silence.
type candidate struct {
	signs    map[instanceFlow]waiting
	hintedAt time.Time // when another failure domain told that it is silent for it; zero if none did
	goneAt   time.Time // when its removal from the list began to count; zero if it was not removed
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
		if detector.IsSilent(sign.Server, now) {
			continue
		}
		found, flow := detector.candidate(sign.Server), instanceFlow{instance: instance, flow: sign.Flow}
		if _, known := found.signs[flow]; known || len(found.signs) < maxEntries {
			copiedAt := now.Add(-sign.Delay)
			found.signs[flow] = waiting{since: copiedAt.Add(-sign.For), copiedAt: copiedAt, isOpening: sign.Opening, isEjected: sign.Ejected}
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

// CheckRemoved notes the servers that are removed from the list now; one that is listed again has
// shown that it lives. Without an unanswered request a removal says nothing, as such servers get no
// new flows whose openings they could answer.
func (detector *Detector) CheckRemoved(removed []viewer.RemovedServer, now time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	for _, candidate := range detector.candidates {
		candidate.goneAt = time.Time{}
	}
	for _, removed := range removed {
		age := now.Sub(removed.GoneAt)
		if !removed.GoneAt.IsZero() && age >= 0 && age < removedTime {
			detector.candidate(NewServer(removed.Server)).goneAt = removed.GoneAt
		}
	}
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

// weighed is evidence with its weight.
type weighed struct {
	Evidence
	weight  int
	hasData bool // some of the flows have unanswered data
	hasLong bool // some of it was retransmitted twice
}

// weigh returns the evidence against a server, after dropping the signs that are too old or that
// a sign of life has refuted. The mutex must be held.
func (detector *Detector) weigh(server Server, candidate *candidate, now time.Time) weighed {
	weighed := weighed{Evidence: Evidence{Removed: candidate.isRemoved(now)}}
	instances, weights := map[string]time.Duration{}, map[uint32]int{} // routers may move a flow to another instance
	for flow, waiting := range candidate.signs {
		if !detector.counts(server, waiting.since) || now.Sub(waiting.copiedAt) > signMemory {
			delete(candidate.signs, flow)
			continue
		}
		if !candidate.askedAt.IsZero() && waiting.since.Before(candidate.since) {
			continue // nobody was asked for life since then
		}
		waited, weight := waiting.copiedAt.Sub(waiting.since), 1
		instances[flow.instance] = max(instances[flow.instance], waited)
		switch {
		case waiting.isOpening:
			weighed.Openings++
		case waited >= longWait:
			weight, weighed.hasData, weighed.hasLong = 2, true, true
		default:
			weighed.hasData = true
		}
		weights[flow.flow] = max(weights[flow.flow], weight)
		weighed.Longest = max(weighed.Longest, waited)
		weighed.Since = max(weighed.Since, now.Sub(waiting.since))
	}
	for _, weight := range weights {
		weighed.weight += weight
	}
	weighed.Instances, weighed.Flows, weighed.From = len(instances), len(weights), namesWithWaits(instances)
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

// suffices reports whether the evidence is enough to ask for signs of life.
func (weighed *weighed) suffices(place Place) bool {
	if !weighed.hasData {
		return false // it may serve its flows and take no new ones
	}
	weight := weighed.weight
	if weighed.Removed {
		weight += removalWeight
	}
	if weighed.Hinted {
		return weighed.Flows > 0 && weight+hintWeight >= minWeight
	}
	if !weighed.hasLong && !weighed.Removed {
		return false // a server that lives acknowledges the first retransmission, also while the request waits
	}
	if place.DomainInstances == 1 {
		return weight >= minWeightAlone && weighed.Flows >= minFlowsAlone
	}
	return weight >= minWeight && weighed.Instances >= 2 && weighed.Flows >= 2
}

// isRemoved reports whether the server was removed from the list a short time ago.
func (candidate *candidate) isRemoved(now time.Time) bool {
	return !candidate.goneAt.IsZero() && now.Sub(candidate.goneAt) < removedTime
}

func (candidate *candidate) isOld(now time.Time) bool {
	isHeld := now.Sub(candidate.hold.until) <= signMemory || now.Sub(candidate.hold.hintedAt) <= signMemory
	if isHeld || now.Sub(candidate.hintedAt) <= signMemory || candidate.isRemoved(now) {
		return false
	}
	for _, waiting := range candidate.signs {
		if now.Sub(waiting.copiedAt) <= signMemory {
			return false
		}
	}
	return true
}
