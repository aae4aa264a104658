package placer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// usableInterval is the longest time after which the usable servers of a failure domain
	// are determined again, since ejections begin and end.
	usableInterval = time.Second
)

// domainIndex holds the candidates of a service by failure domain.
type domainIndex struct {
	candidates []*viewer.BackendServer // that were indexed
	own        *domain                 // nil if no candidate is in the instance's failure domain
	others     []*domain
}

// domain holds the candidates of a service in one failure domain.
type domain struct {
	name       string
	candidates []*viewer.BackendServer
	usable     []*viewer.BackendServer // those that all instances could open flows at, and were not ejected, when they were last examined
	slots      float64                 // of the usable servers, those of cold ones in part
	examineAt  time.Time               // when the candidates have to be examined again
}

// indexOf returns the index of candidates, the servers of one service. It builds a new one when
// the list is another than before, as it is in each new view.
func (placer *Placer) indexOf(candidates []*viewer.BackendServer, now time.Time) *domainIndex {
	service := candidates[0].Service
	index := placer.indexes[service]
	if index != nil && len(index.candidates) == len(candidates) && &index.candidates[0] == &candidates[0] {
		return index
	}
	index = &domainIndex{candidates: candidates}
	byName := map[string]*domain{}
	for _, candidate := range candidates {
		name := candidate.FailureDomain
		if byName[name] == nil {
			byName[name] = &domain{name: name}
			if name == placer.failureDomain {
				index.own = byName[name]
			} else {
				index.others = append(index.others, byName[name])
			}
		}
		byName[name].candidates = append(byName[name].candidates, candidate)
	}
	placer.indexes[service] = index
	placer.service(service, now)
	return index
}

// examine determines the usable servers of a domain if that is due.
func (placer *Placer) examine(domain *domain, now time.Time) {
	if now.Before(domain.examineAt) {
		return
	}
	domain.usable, domain.slots, domain.examineAt = domain.usable[:0], 0, now.Add(usableInterval)
	for _, candidate := range domain.candidates {
		if placer.pacer.Reserved(candidate, now) {
			continue // drawShared finds those that this instance opens flows at
		}
		if !placer.isEjected(candidate, now) {
			domain.usable = append(domain.usable, candidate)
			domain.slots += float64(max(candidate.Slots, 1)) * placer.pacer.Share(candidate, now)
			continue
		}
		if end := placer.ejectionEnd(candidate); end.After(now) && end.Before(domain.examineAt) {
			domain.examineAt = end
		}
	}
}

// ejectionEnd returns when the last ejection of a server for unanswered openings ends; the
// zero time if it had none.
func (placer *Placer) ejectionEnd(candidate *viewer.BackendServer) time.Time {
	if state := placer.servers[keyOf(candidate)]; state != nil {
		return state.ejection.until
	}
	return time.Time{}
}

// isUsable reports whether a flow may go to a domain that is not among the attempted ones.
func (placer *Placer) isUsable(domain *domain, attempted []*viewer.BackendServer, now time.Time) bool {
	if containsDomain(attempted, domain.candidates[0]) || placer.domainEjection(domain.candidates[0]).active(now) {
		return false
	}
	placer.examine(domain, now)
	return len(domain.usable) > 0
}
