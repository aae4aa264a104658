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

// CallerOptions configures a caller that keeps a number of flows open.
type CallerOptions struct {
	Address        netip.AddrPort // of its socket
	FabricAddress  netip.AddrPort // tunnel endpoint of the fabric
	Source         netip.Addr     // source address of the inner packets
	ServiceAddress netip.AddrPort
	UDP            bool
	Flows          int           // concurrent flows
	Interval       time.Duration // between the requests of one flow
	Requests       int           // per flow, which is then closed and replaced; 0 keeps it open
	Duration       time.Duration
}

// CallerReport holds the counters of a caller.
type CallerReport struct {
	Opened           int            `json:"opened"`
	Closed           int            `json:"closed"`
	Requests         int            `json:"requests"`
	Answered         int            `json:"answered"`
	WrongAnswers     int            `json:"wrong"`  // answers to another request or from another service; not counted, so always 0
	Broken           int            `json:"broken"` // established flows that were reset or received no answer in time
	NotOpened        int            `json:"not_opened"`
	RefusalsByReason map[string]int `json:"refused"`
	AnswersByServer  map[string]int `json:"servers"` // answers by backend server
	Retransmissions  int            `json:"repeated"`
}

const (
	retransmitInterval = time.Second
	answerTimeout      = 8 * time.Second
)

var (
	errFlowReset = errors.New("flow was reset")
	errNoAnswer  = errors.New("no answer before the timeout")
)

// refusedError reports a flow that the load balancer refused.
type refusedError struct{ refusal framer.Refusal }

// Error returns the reason of the refusal.
func (refusedError *refusedError) Error() string { return refusedError.refusal.Reason.String() }

// Caller opens flows, sends requests and checks the answers.
type Caller struct {
	options CallerOptions
	socket  *net.UDPConn

	mutex         sync.Mutex
	answersByPort map[uint16]chan framer.Packet
	lastPort      uint16
	report        CallerReport
}

// NewCaller opens the caller's socket. The returned function closes it.
func NewCaller(options CallerOptions) (*Caller, func(), error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(options.Address))
	if err != nil {
		return nil, nil, err
	}
	caller := &Caller{
		options:       options,
		socket:        socket,
		answersByPort: map[uint16]chan framer.Packet{},
		lastPort:      10_000,
		report:        CallerReport{RefusalsByReason: map[string]int{}, AnswersByServer: map[string]int{}},
	}
	return caller, func() { socket.Close() }, nil
}

// Run keeps the flows open for options.Duration, or until ctx ends, and returns the
// report.
func (caller *Caller) Run(ctx context.Context) CallerReport {
	go caller.receive()
	ctx, cancel := context.WithTimeout(ctx, caller.options.Duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range caller.options.Flows {
		group.Go(func() {
			// The starts of the flows are spread over one interval.
			sleep(ctx, caller.options.Interval*time.Duration(i)/time.Duration(caller.options.Flows))
			for ctx.Err() == nil {
				caller.runFlow(ctx)
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
		answers, ok := caller.answersByPort[packet.Tuple.DestinationPort]
		caller.mutex.Unlock()
		if ok {
			select {
			case answers <- packet:
			default:
			}
		}
	}
}

func (caller *Caller) updateReport(change func(report *CallerReport)) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	change(&caller.report)
}

// callerFlow is the caller's state of one flow.
type callerFlow struct {
	caller           *Caller
	tuple            framer.Tuple
	answers          chan framer.Packet
	nextSequence     uint32
	expectedSequence uint32
}

// runFlow opens one flow, sends its requests and closes it.
func (caller *Caller) runFlow(ctx context.Context) {
	flow := caller.newFlow()
	defer caller.removeFlow(flow)
	if !caller.options.UDP {
		if err := flow.open(); err != nil {
			caller.recordOpeningFailure(ctx, err)
			return
		}
	}
	caller.updateReport(func(report *CallerReport) { report.Opened++ })
	for number := 0; ctx.Err() == nil && (caller.options.Requests == 0 || number < caller.options.Requests); number++ {
		if err := flow.sendRequest(number); err != nil {
			caller.updateReport(func(report *CallerReport) { report.Broken++ })
			return
		}
		sleep(ctx, caller.options.Interval)
	}
	if !caller.options.UDP {
		flow.close()
	}
	caller.updateReport(func(report *CallerReport) { report.Closed++ })
}

// recordOpeningFailure counts a flow that did not open. After a refusal it waits for the
// time that the refusal asks for.
func (caller *Caller) recordOpeningFailure(ctx context.Context, err error) {
	var refusedError *refusedError
	if errors.As(err, &refusedError) {
		caller.updateReport(func(report *CallerReport) { report.RefusalsByReason[err.Error()]++ })
		sleep(ctx, refusedError.refusal.RetryAfter)
		return
	}
	caller.updateReport(func(report *CallerReport) { report.NotOpened++ })
}

func (caller *Caller) newFlow() *callerFlow {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.lastPort++
	if caller.lastPort < 10_000 {
		caller.lastPort = 10_000
	}
	protocol := uint8(framer.ProtocolTCP)
	if caller.options.UDP {
		protocol = framer.ProtocolUDP
	}
	flow := &callerFlow{
		caller:  caller,
		answers: make(chan framer.Packet, 16),
		tuple: framer.Tuple{
			Source: caller.options.Source.As4(), SourcePort: caller.lastPort,
			Destination: caller.options.ServiceAddress.Addr().As4(), DestinationPort: caller.options.ServiceAddress.Port(),
			Protocol: protocol,
		},
		nextSequence: 1,
	}
	caller.answersByPort[caller.lastPort] = flow.answers
	return flow
}

func (caller *Caller) removeFlow(flow *callerFlow) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	delete(caller.answersByPort, flow.tuple.SourcePort)
}

// exchange sends a segment and retransmits it every retransmitInterval until accept
// returns true for an answer. It returns an error after a refusal, after a reset, or if
// there is no accepted answer within answerTimeout.
func (flow *callerFlow) exchange(segment framer.Segment, accept func(framer.Packet) bool) error {
	segment.Tuple = flow.tuple
	inner, err := framer.BuildInner(segment)
	if err != nil {
		return err
	}
	datagram := framer.Encode(nil, framer.Options{}, inner)
	deadline := time.NewTimer(answerTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(retransmitInterval)
	defer ticker.Stop()
	flow.send(datagram)
	for {
		select {
		case packet := <-flow.answers:
			if packet.Refusal.Reason != framer.NotRefused {
				return &refusedError{refusal: packet.Refusal}
			}
			if packet.Flags&framer.FlagRST != 0 {
				return errFlowReset
			}
			if accept(packet) {
				return nil
			}
		case <-ticker.C:
			flow.caller.updateReport(func(report *CallerReport) { report.Retransmissions++ })
			flow.send(datagram)
		case <-deadline.C:
			return errNoAnswer
		}
	}
}

func (flow *callerFlow) send(datagram []byte) {
	_, _ = flow.caller.socket.WriteToUDPAddrPort(datagram, flow.caller.options.FabricAddress)
}

func (flow *callerFlow) open() error {
	err := flow.exchange(framer.Segment{Flags: framer.FlagSYN, Sequence: 0}, func(packet framer.Packet) bool {
		flow.expectedSequence = packet.Sequence + 1
		return packet.Flags&framer.FlagSYN != 0
	})
	if err != nil {
		return err
	}
	inner, err := framer.BuildInner(framer.Segment{Tuple: flow.tuple, Flags: framer.FlagACK, Sequence: 1, Acknowledgment: flow.expectedSequence})
	if err != nil {
		return err
	}
	flow.send(framer.Encode(nil, framer.Options{}, inner))
	return nil
}

func (flow *callerFlow) sendRequest(number int) error {
	text := fmt.Sprintf("%s:%d/%d", flow.caller.options.Source, flow.tuple.SourcePort, number)
	flow.caller.updateReport(func(report *CallerReport) { report.Requests++ })
	segment := framer.Segment{Flags: framer.FlagACK, Sequence: flow.nextSequence, Acknowledgment: flow.expectedSequence, Payload: []byte(text)}
	flow.nextSequence += uint32(len(text))
	return flow.exchange(segment, func(packet framer.Packet) bool {
		server, request, found := strings.Cut(string(packet.Payload()), " ")
		if !found {
			return false
		}
		if request != text {
			// A duplicate of an earlier answer is not an error.
			return false
		}
		flow.expectedSequence = packet.Sequence + uint32(packet.PayloadLength)
		flow.caller.updateReport(func(report *CallerReport) {
			report.Answered++
			report.AnswersByServer[server]++
		})
		return true
	})
}

func (flow *callerFlow) close() {
	_ = flow.exchange(framer.Segment{Flags: framer.FlagFIN | framer.FlagACK, Sequence: flow.nextSequence, Acknowledgment: flow.expectedSequence},
		func(packet framer.Packet) bool { return packet.Flags&framer.FlagFIN != 0 })
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
