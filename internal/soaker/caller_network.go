package soaker

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	maxLoss   = 10                     // percent of the packets each way
	maxDelay  = 700 * time.Millisecond // of a late packet
	lateShare = 5                      // one packet in so many is late, and one repeated
)

// callerNetwork carries packets between callers, instances and backend servers.
type callerNetwork struct {
	mutex  sync.Mutex
	random *rand.Rand
	loss   int // percent
	isLate bool
}

func newCallerNetwork(seed uint64) *callerNetwork {
	return &callerNetwork{random: rand.New(rand.NewPCG(seed, 1))}
}

// set changes what happens to packets.
func (callerNetwork *callerNetwork) set(loss int, isLate bool) {
	callerNetwork.mutex.Lock()
	defer callerNetwork.mutex.Unlock()
	callerNetwork.loss, callerNetwork.isLate = loss, isLate
}

// carry delivers a packet once, or never, late or twice. Openings and their answers are neither late
// nor repeated, since an instance takes a repeated opening for one that had no answer.
func (callerNetwork *callerNetwork) carry(isOpening bool, deliver func()) {
	callerNetwork.mutex.Lock()
	isLost := callerNetwork.random.IntN(100) < callerNetwork.loss
	isLate := callerNetwork.isLate && !isOpening && callerNetwork.random.IntN(lateShare) == 0
	isRepeated := callerNetwork.isLate && !isOpening && callerNetwork.random.IntN(lateShare) == 0
	delay := time.Duration(callerNetwork.random.Int64N(int64(maxDelay)))
	callerNetwork.mutex.Unlock()
	if isLost {
		return
	}
	if !isLate || isRepeated {
		deliver()
	}
	if isLate || isRepeated {
		time.AfterFunc(delay, deliver)
	}
}

func losePackets(soak *soak, parameters faultParameters) {
	soak.network.set(1+parameters.choice%maxLoss, false)
	time.Sleep(parameters.duration)
	soak.network.set(0, false)
}

func delayPackets(soak *soak, parameters faultParameters) {
	soak.network.set(0, true)
	time.Sleep(parameters.duration)
	soak.network.set(0, false)
}
