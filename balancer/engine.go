package balancer

import (
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/logger"
)

// sender sends messages to other instances.
type sender interface {
	Send(to decider.Instance, message decider.Message) error
}

// Engine makes one Decider safe for concurrent use. After each input it sends the
// Decider's messages and logs its events.
type Engine struct {
	log    logr.Logger
	mutex  sync.Mutex
	sender sender
	// Tunnel addresses of the known instances, rebuilt when the membership may have changed.
	trustedTunnels map[netip.AddrPort]bool
	decider        *decider.Decider
}

// NewEngine returns the engine of the instance in settings. Messages are discarded
// until SetSender is called.
func NewEngine(settings *configurer.Settings, log logr.Logger) *Engine {
	config := decider.Config{
		Self: decider.Instance{
			Name:          settings.Instance,
			FailureDomain: settings.FailureDomain,
			Peer:          settings.PeerAddress,
			Tunnel:        settings.TunnelAddress,
		},
		Incarnation: uint64(time.Now().UnixNano()),
		MaxFlows:    settings.MaxFlows,
	}
	return &Engine{
		log:            log,
		decider:        decider.NewDecider(config, time.Now()),
		trustedTunnels: map[netip.AddrPort]bool{},
	}
}

// SetSender sets the sender of messages to other instances.
func (engine *Engine) SetSender(sender sender) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.sender = sender
}

// withDecider runs step on the decider under the lock, then flushes the decider's output.
func (engine *Engine) withDecider(step func(decider *decider.Decider, now time.Time)) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	step(engine.decider, time.Now())
	engine.flushOutput()
}

// flushOutput sends the decider's queued messages and logs its events; the caller
// holds the lock.
func (engine *Engine) flushOutput() {
	for _, outgoing := range engine.decider.TakeOutbox() {
		if engine.sender == nil {
			continue
		}
		if err := engine.sender.Send(outgoing.To, outgoing.Message); err != nil {
			logger.Event(engine.log, logger.EventMessageNotSent, "instance", outgoing.To.Name, "error", err.Error())
		}
	}
	for _, event := range engine.decider.TakeEvents() {
		logger.Event(engine.log, event.Kind, event.Fields...)
	}
}

// Decide returns the verdict on one packet.
func (engine *Engine) Decide(packet *framer.Packet) decider.Verdict {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	verdict := engine.decider.HandlePacket(time.Now(), packet)
	engine.flushOutput()
	return verdict
}

// IsTrusted reports whether address is the tunnel address of a known instance.
func (engine *Engine) IsTrusted(address netip.AddrPort) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.trustedTunnels[address]
}

// Receive passes a message from another instance to the decider; from is the name
// in the sender's certificate.
func (engine *Engine) Receive(from string, message decider.Message) {
	engine.withDecider(func(decider *decider.Decider, now time.Time) {
		decider.HandleMessage(now, from, message)
		if message.Heartbeat == nil || message.Heartbeat.Self != nil {
			engine.updateTrusted()
		}
	})
}

// Tick runs the decider's periodic work; it reads the clock itself.
func (engine *Engine) Tick(time.Time) {
	engine.withDecider(func(decider *decider.Decider, now time.Time) { decider.Tick(now) })
}

// ApplySheet passes a version of the sheet, as JSON, to the decider.
func (engine *Engine) ApplySheet(version uint64, content []byte) {
	engine.withDecider(func(decider *decider.Decider, now time.Time) { decider.ApplySheet(now, version, content) })
}

// ApplyInstances passes the list of instances to the decider.
func (engine *Engine) ApplyInstances(instances []decider.Instance) {
	engine.withDecider(func(decider *decider.Decider, now time.Time) {
		decider.SetInstances(now, instances)
		engine.updateTrusted()
	})
}

// updateTrusted rebuilds the set of trusted tunnel addresses from the decider's members.
func (engine *Engine) updateTrusted() {
	clear(engine.trustedTunnels)
	for _, address := range engine.decider.TunnelAddresses() {
		engine.trustedTunnels[address] = true
	}
}

// Leave starts a planned stop: the instance stops being a home and hands its flows over.
func (engine *Engine) Leave() {
	engine.withDecider(func(decider *decider.Decider, now time.Time) { decider.Leave(now) })
}

// Close sends the final heartbeat to the other instances.
func (engine *Engine) Close() {
	engine.withDecider(func(decider *decider.Decider, now time.Time) { decider.Close(now) })
}

// Status returns the instance's state for operators.
func (engine *Engine) Status() decider.Status {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.decider.Status()
}

// Explain returns how the instance decides about the flow with the given tuple, as
// seen from the caller.
func (engine *Engine) Explain(tuple framer.Tuple) decider.Explanation {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.decider.Explain(tuple)
}

// Counters returns the decider's counters by name.
func (engine *Engine) Counters() map[string]uint64 {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.decider.Counters()
}

// IsReader reports whether this instance is the one that reads the platform for its failure domain.
func (engine *Engine) IsReader() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.decider.IsReader()
}
