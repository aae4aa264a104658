package detector

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/viewer"
)

// maxEntries limits each list of a message, so that it fits one datagram.
const maxEntries = 23

// Server identifies one incarnation of a backend server; two that share a token started at
// different times.
type Server struct {
	Token     uint32 `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint"` // Unix milliseconds
}

// NewServer returns what identifies a backend server.
func NewServer(server *viewer.BackendServer) Server {
	return Server{Token: server.Token, StartedAt: server.StartedAt}
}

// Message carries signs between instances. All times are ages, since clocks differ.
type Message struct {
	Unanswered []Unanswered `cbor:"1,keyasint,omitempty"` // signs of silence, to the leaders
	Questions  []ServerAge  `cbor:"2,keyasint,omitempty"` // from a leader: who has seen life of these servers since
	Alive      []ServerAge  `cbor:"3,keyasint,omitempty"` // the last sign of life, as an answer or because the server was declared silent
	Silent     []ServerAge  `cbor:"4,keyasint,omitempty"` // from a leader: servers that have been silent since, for its failure domain
	// Answered tells, as an answer, until when callers of these servers have stopped to retransmit.
	Answered []ServerAge `cbor:"6,keyasint,omitempty"`
	Holds    []Hold      `cbor:"5,keyasint,omitempty"` // from a leader: servers that get no openings for a time
}

// Unanswered is data or the opening of a flow that a server has left unanswered.
type Unanswered struct {
	Server
	Flow uint32        `cbor:"3,keyasint"` // a hash of its addresses, the same at all instances
	For  time.Duration `cbor:"4,keyasint"` // until it was last retransmitted
	// Asked is how long a copy of the data has been unanswered until then; older programs state none, and
	// what they report shows no more than a queue.
	Asked time.Duration `cbor:"8,keyasint,omitempty"`
	// Delay is how long ago that was when the sender reported it; older programs state none.
	Delay time.Duration `cbor:"7,keyasint,omitempty"`
	// Opening says that it is the opening, and Ejected that the sender has ejected the server for it.
	Opening bool `cbor:"5,keyasint,omitempty"`
	Ejected bool `cbor:"6,keyasint,omitempty"`
}

// ServerAge names a server and how long ago something about it happened.
type ServerAge struct {
	Server
	Age time.Duration `cbor:"3,keyasint"`
}

// Check returns an error if a value in the message is impossible.
func (message *Message) Check() error {
	for _, unanswered := range message.Unanswered {
		if unanswered.For < 0 || unanswered.Asked < 0 || unanswered.Delay < 0 {
			return errors.Errorf("data is unanswered for %s, reported %s later", unanswered.For, unanswered.Delay)
		}
	}
	for _, list := range [][]ServerAge{message.Questions, message.Alive, message.Silent, message.Answered} {
		for _, entry := range list {
			if entry.Age < 0 {
				return errors.Errorf("a sign of a server has age %s", entry.Age)
			}
		}
	}
	for _, hold := range message.Holds {
		if hold.Age < 0 || hold.For < 0 {
			return errors.Errorf("openings are held back for %s since %s", hold.For, hold.Age)
		}
	}
	return nil
}

func (message *Message) isEmpty() bool {
	return len(message.Unanswered)+len(message.Questions)+len(message.Alive)+len(message.Silent)+len(message.Answered)+len(message.Holds) == 0
}

// Audience is the set of instances that a message is for.
type Audience int

// Audiences of messages.
const (
	Leaders  Audience = iota // the leaders of the own failure domain
	Domain                   // the instances of the own failure domain
	Everyone                 // these, and the leaders of the other failure domains
)

// Outgoing is a message with its audience, which does not include the sender.
type Outgoing struct {
	Audience Audience
	Message  Message
}

// Place is an instance's place in its fleet.
type Place struct {
	IsLeader        bool // of its failure domain
	DomainInstances int  // in its failure domain, itself included
	Servers         int  // listed
}
