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

// sender carries messages to other instances.
type sender interface {
	Send(to decider.Instance, message decider.Message) error
}

// Engine lets many goroutines use one Decider, and carries out what it asks for.
type Engine struct {
	log    logr.Logger
	mutex  sync.Mutex
	sender sender
	// The tunnel addresses of known instances, replaced as a whole when they change.
	trusted map[netip.AddrPort]bool
	decider *decider.Decider
}

// NewEngine returns the engine of the instance in settings; SetSender has to follow before messages can go out.
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
		log:     log,
		decider: decider.NewDecider(config, time.Now()),
		trusted: map[netip.AddrPort]bool{},
	}
}

// SetSender says where messages go.
func (engine *Engine) SetSender(sender sender) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.sender = sender
}

// do runs step with the decider and carries out what it asks for.
func (engine *Engine) do(step func(decider *decider.Decider, now time.Time)) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	step(engine.decider, time.Now())
	engine.carryOut()
}

func (engine *Engine) carryOut() {
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

// Packet decides about one packet.
func (engine *Engine) Packet(packet *framer.Packet) decider.Verdict {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	verdict := engine.decider.HandlePacket(time.Now(), packet)
	engine.carryOut()
	return verdict
}

// Trusted reports whether address is the tunnel address of a known instance.
func (engine *Engine) Trusted(address netip.AddrPort) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.trusted[address]
}

// Receive takes in a message from another instance.
func (engine *Engine) Receive(from string, message decider.Message) {
	engine.do(func(decider *decider.Decider, now time.Time) {
		decider.HandleMessage(now, from, message)
		if message.Heartbeat == nil || message.Heartbeat.Self != nil {
			engine.trust()
		}
	})
}

// Tick lets time pass.
func (engine *Engine) Tick(time.Time) {
	engine.do(func(decider *decider.Decider, now time.Time) { decider.Tick(now) })
}

// Sheet takes in a version of the sheet.
func (engine *Engine) Sheet(version uint64, content []byte) {
	engine.do(func(decider *decider.Decider, now time.Time) { decider.ApplySheet(now, version, content) })
}

// Members takes in a list of instances.
func (engine *Engine) Members(instances []decider.Instance) {
	engine.do(func(decider *decider.Decider, now time.Time) {
		decider.SetInstances(now, instances)
		engine.trust()
	})
}

func (engine *Engine) trust() {
	clear(engine.trusted)
	for _, address := range engine.decider.TunnelAddresses() {
		engine.trusted[address] = true
	}
}

// Leave starts a planned stop.
func (engine *Engine) Leave() {
	engine.do(func(decider *decider.Decider, now time.Time) { decider.Leave(now) })
}

// Close says the last word to the other instances.
func (engine *Engine) Close() {
	engine.do(func(decider *decider.Decider, now time.Time) { decider.Close(now) })
}

// Status returns what the instance knows.
func (engine *Engine) Status() decider.Status {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.decider.Status()
}

// Explain says how a flow, given by its tuple as seen from the caller, is decided.
func (engine *Engine) Explain(tuple framer.Tuple) decider.Explanation {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.decider.Explain(tuple)
}

// Counters returns the counters of the decisions.
func (engine *Engine) Counters() map[string]uint64 {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.decider.Counters()
}

// Leads reports whether this instance watches the platform for its failure domain.
func (engine *Engine) Leads() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.decider.IsReader()
}
