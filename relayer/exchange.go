package relayer

import (
	"context"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// announceToDomainAndLeaders sends an announcement to all instances of this failure domain
// and to the leaders of the others.
func (relayer *Relayer) announceToDomainAndLeaders() {
	relayer.announce(func(member Member, position int) bool {
		return member.FailureDomain == relayer.self.FailureDomain || position < leadersPerDomain
	})
}

// announceToLeaders sends an announcement to the leaders of all failure domains. A
// starting instance announces itself only to them, so that the traffic of each
// instance at the start of a fleet does not depend on the fleet's size.
func (relayer *Relayer) announceToLeaders() {
	relayer.announce(func(_ Member, position int) bool { return position < leadersPerDomain })
}

// announceToDomain sends an announcement to all instances of this failure domain.
func (relayer *Relayer) announceToDomain() {
	relayer.announce(func(member Member, _ int) bool { return member.FailureDomain == relayer.self.FailureDomain })
}

// announce sends an announcement to the members that selects returns true for; position
// is a member's position within its failure domain.
func (relayer *Relayer) announce(selects func(member Member, position int) bool) {
	now := time.Now()
	relayer.mutex.Lock()
	heartbeat := relayer.newAnnouncement(now)
	sorted, positions := rankMembers(relayer.allMembers())
	var recipients []Member
	for _, member := range sorted {
		if member.Name != relayer.self.Name && selects(member, positions[member.Name]) {
			recipients = append(recipients, member)
			relayer.members[member.Name].markSent(now)
		}
	}
	datagrams := relayer.distribute(heartbeat, recipients, positions, now)
	relayer.mutex.Unlock()
	relayer.send(datagrams)
}

// newAnnouncement returns an announcement with the changes of the routes and of the
// servers since the previous one, each only if it fits. The mutex must be held.
func (relayer *Relayer) newAnnouncement(now time.Time) Heartbeat {
	heartbeat := relayer.newHeartbeat(now, false)
	if delta := relayer.routeDelta; delta != nil && delta.Base == relayer.announcedVersion && delta.Len() <= maxHeartbeatChanges {
		heartbeat = extendIfFits(heartbeat, func(heartbeat *Heartbeat) { heartbeat.RouteDelta = delta })
	}
	if delta := viewer.ComposeDeltas(relayer.history.after(relayer.announcedRevision), maxHeartbeatChanges); delta != nil {
		heartbeat = extendIfFits(heartbeat, func(heartbeat *Heartbeat) { heartbeat.ServersDelta = delta })
	}
	relayer.announcedRevision, relayer.announcedVersion = heartbeat.serversAt(), heartbeat.ConfigurationVersion
	return heartbeat
}

// extendIfFits applies add to a heartbeat if the result still fits one datagram, with the
// addresses to which a relay passes it on, and returns it unchanged otherwise.
func extendIfFits(heartbeat Heartbeat, add func(*Heartbeat)) Heartbeat {
	extended := heartbeat
	add(&extended)
	if len(encode(extended)) <= maxHeartbeatSize-passOnSize {
		return extended
	}
	return heartbeat
}

// markSent records that an announcement was sent to the peer, unless an earlier one is
// still unanswered.
func (peer *peer) markSent(now time.Time) {
	if !peer.unansweredSince.After(peer.receivedAt) {
		peer.unansweredSince, peer.unansweredCount = now, 0
	}
	peer.unansweredCount++
}

// allMembers returns all members, this instance included. Members that are leaving
// are included too, since an instance that restarts receives announcements at its old
// address. The mutex must be held.
func (relayer *Relayer) allMembers() []Member {
	members := []Member{relayer.self}
	for _, peer := range relayer.members {
		members = append(members, peer.Member)
	}
	return members
}

// newHeartbeat returns a heartbeat that describes the current view; isAnswer is true for
// answers and reports. The mutex must be held.
func (relayer *Relayer) newHeartbeat(now time.Time, isAnswer bool) Heartbeat {
	view := relayer.viewer.Current()
	heartbeat := Heartbeat{
		Sender: relayer.self, Leaving: relayer.leaving, IsAnswer: isAnswer, ReportSupport: relayer.reportSupport,
		Age: relayer.schedule.Age(now), StoreRead: relayer.schedule.freshRead, Evacuations: view.Evacuations,
	}
	if relayer.schedule.isLeader && relayer.hasReadMembers {
		heartbeat.InstanceCount = 1 + len(relayer.members)
		heartbeat.DomainInstanceCount = relayer.domainCount.members
	}
	if view.Configuration != nil {
		heartbeat.ConfigurationVersion = view.Configuration.Version
	}
	if view.Servers != nil {
		heartbeat.ServersRevision, heartbeat.Era = view.Servers.Revision, view.Servers.Era
		heartbeat.ServerCount = len(view.Servers.List)
		heartbeat.ServersDigest = relayer.cachedDigest(view.Servers)
	}
	return heartbeat
}

// cachedDigest returns the digest of servers and computes it once per revision. The mutex
// must be held.
func (relayer *Relayer) cachedDigest(servers *viewer.Servers) uint64 {
	if relayer.digestRevision != servers.At() {
		relayer.digest, relayer.digestRevision = servers.Digest(), servers.At()
	}
	return relayer.digest
}

// Receive processes a datagram of another instance, a heartbeat or a report of suspicions, and
// returns an error if it, or a delta in it, cannot be decoded or is invalid. Heartbeats of this instance are ignored.
func (relayer *Relayer) Receive(ctx context.Context, content []byte) error {
	if isSuspicionReport(content) {
		return relayer.receiveReport(content, time.Now())
	}
	var heartbeat Heartbeat
	if err := decode(content, &heartbeat); err != nil {
		return err
	}
	if err := heartbeat.check(); err != nil {
		return err
	}
	if heartbeat.Sender.Name == relayer.self.Name {
		return nil
	}
	deltasErr := heartbeat.dropInvalidDeltas()
	now := time.Now()
	relayer.recordSender(heartbeat, now)
	relayer.receiveEvacuations(heartbeat, now)
	relayer.handleSuspicions(suspicionReport{Failing: heartbeat.Suspicions, Slow: heartbeat.SlowSuspicions}, now)
	relayer.eject(heartbeat.Ejections)
	relayer.relayEjections(heartbeat, now)
	relayer.receiveLoad(heartbeat, now)
	relayer.receiveSigns(heartbeat, now)
	relayer.reconcile(ctx, heartbeat, now)
	relayer.answerIfNeeded(heartbeat, now)
	relayer.relay(heartbeat, now)
	return deltasErr
}

// recordSender adds the sender to the members or updates it there.
func (relayer *Relayer) recordSender(heartbeat Heartbeat, now time.Time) {
	relayer.mutex.Lock()
	member := relayer.members[heartbeat.Sender.Name]
	isNew := member == nil
	if isNew {
		member = &peer{}
		relayer.members[heartbeat.Sender.Name] = member
	}
	acceptsReports := heartbeat.ReportSupport >= senderAccepts
	changed := isNew || member.leaving != heartbeat.Leaving || member.absent || member.acceptsReports != acceptsReports
	if heartbeat.InstanceCount > 0 {
		relayer.reportedInstances = heartbeat.InstanceCount
	}
	relayer.recordReportSupport(heartbeat)
	relayer.recordDomainCount(heartbeat)
	member.Member, member.receivedAt, member.leaving, member.absent = heartbeat.Sender, now, heartbeat.Leaving, false
	member.acceptsReports = acceptsReports
	if changed {
		relayer.updateRank()
	}
	relayer.updateInstanceCount()
	relayer.mutex.Unlock()
	if isNew {
		relayer.observer.MemberJoined(heartbeat.Sender)
	}
}

// recordReportSupport notes what a leader of this failure domain says of its leaders. The mutex
// must be held.
func (relayer *Relayer) recordReportSupport(heartbeat Heartbeat) {
	if heartbeat.InstanceCount > 0 && heartbeat.Sender.FailureDomain == relayer.self.FailureDomain {
		relayer.suspicions.leadersAccept = heartbeat.ReportSupport >= leadersAccept
	}
}

// reconcile compares the sender's versions with those of this instance. If either of the
// sender's is newer, it updates the view; otherwise, if either is older, it answers the
// sender; if they are the same, it confirms the freshness of the view.
func (relayer *Relayer) reconcile(ctx context.Context, heartbeat Heartbeat, now time.Time) {
	view := relayer.viewer.Current()
	relayer.mutex.Lock()
	own := relayer.newHeartbeat(now, false)
	relayer.mutex.Unlock()
	switch heartbeat.compareView(&own) {
	case 1:
		relayer.catchUp(ctx, heartbeat, own, view, now)
	case -1:
		relayer.answer(heartbeat.Sender, minAnswerInterval, now)
	default:
		relayer.confirmFreshness(heartbeat, now)
	}
}

// catchUp applies the deltas in the heartbeat if they lead to the sender's versions, and
// fetches a snapshot from the sender otherwise.
func (relayer *Relayer) catchUp(ctx context.Context, heartbeat, own Heartbeat, view *viewer.View, now time.Time) {
	if !view.Complete() && heartbeat.ServerCount > shortListLength && relayer.firstReadPending(now) {
		return // the store returns a long list faster than one instance that all others ask at once
	}
	configuration, servers := heartbeat.updatedConfiguration(own, view), heartbeat.updatedServers(own, view)
	if configuration == nil || servers == nil {
		relayer.startUnlessRunning("fetch", func() { relayer.fetchAnnounced(ctx, heartbeat) })
		return
	}
	relayer.applyConfiguration(configuration, heartbeat.Sender.Name)
	relayer.applyServers(servers, heartbeat.Sender.Name)
	relayer.confirmFreshness(heartbeat, now)
}

// updatedConfiguration returns the newer of the view's and the sender's configuration, or nil
// when it cannot be derived from the heartbeat.
func (heartbeat *Heartbeat) updatedConfiguration(own Heartbeat, view *viewer.View) *viewer.Configuration {
	switch {
	case view.Configuration == nil:
		return nil
	case heartbeat.ConfigurationVersion <= own.ConfigurationVersion:
		return view.Configuration
	case heartbeat.RouteDelta == nil || heartbeat.RouteDelta.Version != heartbeat.ConfigurationVersion:
		return nil
	}
	return view.Configuration.Apply(heartbeat.RouteDelta)
}

// updatedServers returns the newer of the view's and the sender's list of servers, or nil when
// it cannot be derived from the heartbeat.
func (heartbeat *Heartbeat) updatedServers(own Heartbeat, view *viewer.View) *viewer.Servers {
	var servers *viewer.Servers
	switch {
	case view.Servers == nil:
		return nil
	case !heartbeat.serversAt().IsNewerThan(own.serversAt()):
		return view.Servers
	case heartbeat.ServersDigest == own.ServersDigest:
		return view.Servers.ConfirmedAt(heartbeat.serversAt())
	case heartbeat.ServersDelta != nil:
		servers = view.Servers.Apply(heartbeat.ServersDelta)
	}
	if servers == nil || servers.At() != heartbeat.serversAt() || servers.Digest() != heartbeat.ServersDigest {
		return nil
	}
	return servers
}

// firstReadPending reports whether this instance has started recently and no read of the
// store has failed yet.
func (relayer *Relayer) firstReadPending(now time.Time) bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.schedule.failures == 0 && now.Sub(relayer.startedAt) < firstReadTimeout
}

// confirmFreshness is called when the view is as new as the sender's. It records the view's
// age. If this instance is a leader and the view became fresher by a message from another
// failure domain, it announces the view to its own domain. It sends the sender a
// keepalive answer when one is due.
func (relayer *Relayer) confirmFreshness(heartbeat Heartbeat, now time.Time) {
	previousAge := relayer.Age(now)
	if heartbeat.Age < unknownAge && !relayer.justResumed(now) { // otherwise the heartbeat may have waited in the socket
		relayer.markFresh(heartbeat.StoreRead, now.Add(-heartbeat.Age))
	}
	isFresher := previousAge-relayer.Age(now) > ReadInterval/2
	if isFresher && heartbeat.Sender.FailureDomain != relayer.self.FailureDomain && relayer.isLeader() {
		relayer.announceToDomain()
	}
	if !heartbeat.IsAnswer {
		relayer.answer(heartbeat.Sender, keepaliveInterval, now)
	}
}

// answer sends a heartbeat back unless the last answer is more recent than interval. It also
// shows that this instance is alive.
func (relayer *Relayer) answer(to Member, interval time.Duration, now time.Time) {
	relayer.mutex.Lock()
	member := relayer.members[to.Name]
	if member == nil || now.Sub(member.answeredAt) < interval {
		relayer.mutex.Unlock()
		return
	}
	member.answeredAt = now
	content := encode(relayer.newHeartbeat(now, true))
	relayer.mutex.Unlock()
	relayer.network.Send(to.PeerAddress, content)
}
