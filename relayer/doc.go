// Package relayer keeps the instances of a fleet informed of the configuration
// and the backend servers without each of them reading the platform's store.
//
// # Reader
//
// The instances are ranked: the strongest instance of each failure domain comes
// first, then the second of each, and so on. Rank 0 is the reader and reads the
// store every ReadInterval. Any other instance reads the store itself when its view
// has not been confirmed for ReadInterval plus a delay that grows with its rank, so
// that another instance takes over within a second or two when the reader fails. Two
// readers at once are harmless.
//
// # Heartbeats
//
// Instances send each other heartbeats as UDP datagrams. A heartbeat holds the
// sender's configuration version, its servers revision, and the age of its view,
// which is the time since the store confirmed that revision.
//
//   - An announcement is sent after a read of the store, to the sender's own failure
//     domain and to the leaders of the other ones, which are the two highest-ranked
//     instances of each. A leader that receives a fresher view from another failure
//     domain announces it to its own. Leaders announce their view also when a read
//     failed. An instance that starts announces itself to the leaders only, and one
//     that stops announces that it leaves.
//   - An answer is sent back to a sender with an older version or revision, and to any
//     sender from time to time to show that the receiver is alive.
//   - A report carries suspicions or ejections, see below.
//
// Inside a large failure domain, announcements and reports go through relays: the sender gives
// each of a few instances, drawn anew for each heartbeat, the addresses of others to pass it on
// to. An instance that hears no announcement for longer than it should asks the leaders; if they do
// not answer, the next two instances take their place until they are heard of.
//
// An announcement carries the changes since the sender's previous one as deltas, if
// they are few. A receiver with an older view applies the deltas. If they do not lead
// to the sender's view, it fetches a snapshot over HTTP from the relay, or from the sender,
// which holds deltas since the receiver's own versions, or the full data.
//
// # Evacuations
//
// The evacuated failure domains are read first at every read of the store, and sent in full
// in every announcement and answer. They have a revision of their own and take effect and are
// passed on at once, whatever else the sender's view lacks.
//
// # Suspicions
//
// A suspicion is a response of a backend server that looked like a failure to one
// instance, or took long, or a request that the server lost. Instances report suspicions
// to the leaders of their failure domain, several in a datagram that is no heartbeat if these
// accept it. A leader counts them, and when a server has too
// many, reports to the instances of the domain that they must eject it: keep it out of
// selection for new flows for a time. If the server is in this domain, the leaders of the
// others are told too, and pass it on.
//
// # Signs of servers
//
// Heartbeats also carry the messages by which detectors agree on servers that have fallen
// silent; see package detector.
//
// # Members
//
// Each instance registers itself in the store when it starts. An instance that reads the
// store also reads the list of members, at first and every ten seconds, and removes
// instances of its failure domain that left announcements unanswered for 90 seconds. The
// others know the leaders only.
//
// # Starts
//
// Leaders save a snapshot of their view, with the list of leaders, in the store. An instance
// that starts loads it, serves by it, and announces itself to the leaders, whose answers
// confirm the view or lead it to a newer one. So a start costs two calls of the store,
// whatever the size of the fleet, and no peer carries it.
package relayer
