package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/framer"
)

// CallerOptions describe a program that opens flows and keeps them.
type CallerOptions struct {
	Address  netip.AddrPort // of its socket
	FabricAddress   netip.AddrPort
	Source   netip.Addr // inner source address
	ServiceAddress  netip.AddrPort
	UDP      bool
	Flows    int           // flows open at once
	Interval time.Duration // between the requests of one flow
	Requests int           // of one flow, after which it closes and another opens; 0 keeps it open
	Duration time.Duration
}

// CallerReport is what a caller saw.
type CallerReport struct {
	Opened    int            `json:"opened"`
	Closed    int            `json:"closed"`
	Requests  int            `json:"requests"`
	Answered  int            `json:"answered"`
	WrongAnswers     int            `json:"wrong"`  // answers to another request, or from another service
	Broken    int            `json:"broken"` // established flows that were reset or left without an answer
	NotOpened int            `json:"not_opened"`
	RefusalsByReason   map[string]int `json:"refused"`
	AnswersByServer   map[string]int `json:"servers"` // answers by backend server
	Retransmissions  int            `json:"repeated"`
}

const (
	repeatAfter = time.Second
	giveUpAfter = 8 * time.Second
)

var (
	errReset   = errors.New("flow was reset")
	errNoReply = errors.New("no answer came")
)

type refusedError struct{ refusal framer.Refusal }

// Error names the reason.
func (refusedError *refusedError) Error() string { return refusedError.refusal.Reason.String() }

// Caller opens flows and checks the answers.
type Caller struct {
	options CallerOptions
	socket  *net.UDPConn

	mutex  sync.Mutex
	flows  map[uint16]chan framer.Packet
	port   uint16
	report CallerReport
}

// NewCaller binds the caller's socket.
func NewCaller(options CallerOptions) (*Caller, func(), error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(options.Address))
	if err != nil {
		return nil, nil, err
	}
	caller := &Caller{
		options: options,
		socket:  socket,
		flows:   map[uint16]chan framer.Packet{},
		port:    10_000,
		report:  CallerReport{RefusalsByReason: map[string]int{}, AnswersByServer: map[string]int{}},
	}
	return caller, func() { socket.Close() }, nil
}

// Run drives the flows for the duration and returns the report.
func (caller *Caller) Run(ctx context.Context) CallerReport {
	go caller.receive()
	ctx, cancel := context.WithTimeout(ctx, caller.options.Duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range caller.options.Flows {
		group.Go(func() {
			// The flows of a caller start over one interval.
			pause(ctx, caller.options.Interval*time.Duration(i)/time.Duration(caller.options.Flows))
			for ctx.Err() == nil {
				caller.flow(ctx)
			}
		})
	}
	group.Wait()
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	return caller.report
}

func (caller *Caller) receive() {
	buffer := make([]byte, datagramSize)
	for {
		length, _, err := caller.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var packet framer.Packet
		if framer.Decode(append([]byte(nil), buffer[:length]...), &packet) != nil {
			continue
		}
		caller.mutex.Lock()
		answers, ok := caller.flows[packet.Tuple.DestinationPort]
		caller.mutex.Unlock()
		if ok {
			select {
			case answers <- packet:
			default:
			}
		}
	}
}

func (caller *Caller) note(change func(report *CallerReport)) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	change(&caller.report)
}

// callerFlow is one flow as its caller sees it.
type callerFlow struct {
	caller   *Caller
	tuple    framer.Tuple
	answers  chan framer.Packet
	sequence uint32
	expected uint32
}

func (caller *Caller) flow(ctx context.Context) {
	flow := caller.newFlow()
	defer caller.forget(flow)
	if !caller.options.UDP {
		if err := flow.open(); err != nil {
			caller.failedOpening(ctx, err)
			return
		}
	}
	caller.note(func(report *CallerReport) { report.Opened++ })
	for number := 0; ctx.Err() == nil && (caller.options.Requests == 0 || number < caller.options.Requests); number++ {
		if err := flow.request(number); err != nil {
			caller.note(func(report *CallerReport) { report.Broken++ })
			return
		}
		pause(ctx, caller.options.Interval)
	}
	if !caller.options.UDP {
		flow.close()
	}
	caller.note(func(report *CallerReport) { report.Closed++ })
}

func (caller *Caller) failedOpening(ctx context.Context, err error) {
	var refused *refusedError
	if errors.As(err, &refused) {
		caller.note(func(report *CallerReport) { report.RefusalsByReason[err.Error()]++ })
		pause(ctx, refused.refusal.RetryAfter)
		return
	}
	caller.note(func(report *CallerReport) { report.NotOpened++ })
}

func (caller *Caller) newFlow() *callerFlow {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.port++
	if caller.port < 10_000 {
		caller.port = 10_000
	}
	protocol := uint8(framer.ProtocolTCP)
	if caller.options.UDP {
		protocol = framer.ProtocolUDP
	}
	flow := &callerFlow{
		caller:  caller,
		answers: make(chan framer.Packet, 16),
		tuple: framer.Tuple{
			Source: caller.options.Source.As4(), SourcePort: caller.port,
			Destination: caller.options.ServiceAddress.Addr().As4(), DestinationPort: caller.options.ServiceAddress.Port(),
			Protocol: protocol,
		},
		sequence: 1,
	}
	caller.flows[caller.port] = flow.answers
	return flow
}

func (caller *Caller) forget(flow *callerFlow) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	delete(caller.flows, flow.tuple.SourcePort)
}

// exchange sends a segment, again every second, until accept takes an answer.
func (flow *callerFlow) exchange(segment framer.Segment, accept func(framer.Packet) bool) error {
	segment.Tuple = flow.tuple
	inner, err := framer.BuildInner(segment)
	if err != nil {
		return err
	}
	datagram := framer.Encode(nil, framer.Options{}, inner)
	deadline := time.NewTimer(giveUpAfter)
	defer deadline.Stop()
	repeat := time.NewTicker(repeatAfter)
	defer repeat.Stop()
	flow.send(datagram)
	for {
		select {
		case packet := <-flow.answers:
			if packet.Refusal.Reason != framer.NotRefused {
				return &refusedError{refusal: packet.Refusal}
			}
			if packet.Flags&framer.FlagRST != 0 {
				return errReset
			}
			if accept(packet) {
				return nil
			}
		case <-repeat.C:
			flow.caller.note(func(report *CallerReport) { report.Retransmissions++ })
			flow.send(datagram)
		case <-deadline.C:
			return errNoReply
		}
	}
}

func (flow *callerFlow) send(datagram []byte) {
	_, _ = flow.caller.socket.WriteToUDPAddrPort(datagram, flow.caller.options.FabricAddress)
}

func (flow *callerFlow) open() error {
	err := flow.exchange(framer.Segment{Flags: framer.FlagSYN, Sequence: 0}, func(packet framer.Packet) bool {
		flow.expected = packet.Sequence + 1
		return packet.Flags&framer.FlagSYN != 0
	})
	if err != nil {
		return err
	}
	inner, err := framer.BuildInner(framer.Segment{Tuple: flow.tuple, Flags: framer.FlagACK, Sequence: 1, Acknowledge: flow.expected})
	if err != nil {
		return err
	}
	flow.send(framer.Encode(nil, framer.Options{}, inner))
	return nil
}

func (flow *callerFlow) request(number int) error {
	text := fmt.Sprintf("%s:%d/%d", flow.caller.options.Source, flow.tuple.SourcePort, number)
	flow.caller.note(func(report *CallerReport) { report.Requests++ })
	segment := framer.Segment{Flags: framer.FlagACK, Sequence: flow.sequence, Acknowledge: flow.expected, Payload: []byte(text)}
	flow.sequence += uint32(len(text))
	return flow.exchange(segment, func(packet framer.Packet) bool {
		server, answered, found := strings.Cut(string(packet.Payload()), " ")
		if !found {
			return false
		}
		if answered != text {
			// An earlier answer that came again is no fault.
			return false
		}
		flow.expected = packet.Sequence + uint32(packet.PayloadLength)
		flow.caller.note(func(report *CallerReport) {
			report.Answered++
			report.AnswersByServer[server]++
		})
		return true
	})
}

func (flow *callerFlow) close() {
	_ = flow.exchange(framer.Segment{Flags: framer.FlagFIN | framer.FlagACK, Sequence: flow.sequence, Acknowledge: flow.expected},
		func(packet framer.Packet) bool { return packet.Flags&framer.FlagFIN != 0 })
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
