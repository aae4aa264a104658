// Package detector finds backend servers that have fallen silent before the platform's store
// says so, from signs that the instances of a failure domain share.
//
// # Signs
//
// A sign of life is a caller's packet which shows that its server has answered, with the
// earliest time at which it may have done so. A sign of silence is a copy of a caller's data that
// its server has left unanswered, although it had as long as another server needed to answer; the
// steerer tells. Both hold whichever instance the routers send a flow to: a caller that retransmits
// is still waiting. Data that is retransmitted once, and an opening without an answer, show no more
// than a server that is full.
//
// # Agreement
//
// Each instance remembers when it last saw a sign of life of each server, and sends signs of
// silence to the leaders of its own failure domain. When a leader has them of enough flows, from
// more than one instance and all newer than the last known life, it asks the instances of the
// domain, and the leaders of the others, who has seen life since the oldest of them. Once it has read
// what arrived until the time to answer was over, and there was no such answer, it declares the server
// silent, for this failure domain only: what
// its instances cannot reach may still serve others. To the leaders of the others it is a hint, with
// which one sign of their own is enough to ask. Any instance that sees life afterwards
// says so, and the leaders take the declaration back.
//
// Nothing is declared while more than half of the servers look silent, since then the network
// or the load is the cause; and an instance for which most servers look silent reports none,
// since then its own link is.
//
// A Detector is the part of one instance. It opens no sockets: the relayer carries its messages,
// and the steerer reads which servers are silent.
package detector
