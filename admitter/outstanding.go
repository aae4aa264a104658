package admitter

import "time"

// RequestBegan counts a request, or an opening that was sent, as outstanding at the servers of a
// service until RequestEnded.
func (admitter *Admitter) RequestBegan(service string, now time.Time) {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	admitter.service(service, now).outstanding++
}

// RequestEnded ends what RequestBegan counted.
func (admitter *Admitter) RequestEnded(service string, now time.Time) {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	load := admitter.service(service, now)
	load.outstanding = max(load.outstanding-1, 0)
}
