package relayer

import (
	"context"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// announceToDomainAndLeaders sends a heartbeat to the instances of the failure domain and to the
// first ones of the others.
func (relayer *Relayer) announceToDomainAndLeaders() {
	relayer.announce(func(member Member, position int) bool {
		return member.FailureDomain == relayer.self.FailureDomain || position < leadersPerDomain
	})
}

// announceToLeaders sends a heartbeat to those that lead a failure domain. An instance
// that starts tells only them, so that the start of a fleet costs each instance
// the same whatever the fleet's size.
func (relayer *Relayer) announceToLeaders() {
	relayer.announce(func(_ Member, position int) bool { return position < leadersPerDomain })
}

// announceToDomain sends a heartbeat to the instances of the failure domain.
func (relayer *Relayer) announceToDomain() {
	relayer.announce(func(member Member, _ int) bool { return member.FailureDomain == relayer.self.FailureDomain })
}

func (relayer *Relayer) announce(wanted func(member Member, position int) bool) {
	now := time.Now()
	relayer.mutex.Lock()
	content := relayer.encodeAnnouncement(now)
	sorted, positions := rankMembers(relayer.allMembers())
	var told []Member
	for _, member := range sorted {
		if member.Name != relayer.self.Name && wanted(member, positions[member.Name]) {
			told = append(told, member)
			relayer.members[member.Name].markSent(now)
		}
	}
	relayer.mutex.Unlock()
	for _, member := range told {
		relayer.network.Send(member.PeerAddress, content)
	}
}

// encodeAnnouncement returns a heartbeat with the changes since the last one, as far as they
// fit; the mutex is held.
func (relayer *Relayer) encodeAnnouncement(now time.Time) []byte {
	heartbeat := relayer.newHeartbeat(now, false)
	content := encode(heartbeat)
	if delta := relayer.routeDelta; delta != nil && delta.Base == relayer.announcedVersion && delta.Len() <= maxHeartbeatChanges {
		content, heartbeat = extend(content, heartbeat, func(heartbeat *Heartbeat) { heartbeat.RouteDelta = delta })
	}
	if delta := relayer.history.since(relayer.announcedRevision); delta != nil && delta.Len() <= maxHeartbeatChanges {
		content, heartbeat = extend(content, heartbeat, func(heartbeat *Heartbeat) { heartbeat.ServersDelta = delta })
	}
	relayer.announcedRevision, relayer.announcedVersion = heartbeat.ServersRevision, heartbeat.ConfigurationVersion
	return content
}

// extend adds to an encoded heartbeat if the result still fits one datagram.
func extend(content []byte, heartbeat Heartbeat, add func(*Heartbeat)) ([]byte, Heartbeat) {
	extended := heartbeat
	add(&extended)
	if longer := encode(extended); len(longer) <= maxHeartbeatSize {
		return longer, extended
	}
	return content, heartbeat
}

func (peer *peer) markSent(now time.Time) {
	if !peer.unansweredSince.After(peer.receivedAt) {
		peer.unansweredSince = now
	}
}

// allMembers returns all members, those that are leaving included: one that starts
// again is told at its old address. The mutex is held.
func (relayer *Relayer) allMembers() []Member {
	members := []Member{relayer.self}
	for _, peer := range relayer.members {
		members = append(members, peer.Member)
	}
	return members
}

// newHeartbeat describes the present view; the mutex is held.
func (relayer *Relayer) newHeartbeat(now time.Time, answer bool) Heartbeat {
	view := relayer.viewer.Current()
	heartbeat := Heartbeat{Sender: relayer.self, Leaving: relayer.leaving, IsAnswer: answer, Age: relayer.schedule.Age(now)}
	if relayer.schedule.isLeader && relayer.hasReadMembers {
		heartbeat.InstanceCount = 1 + len(relayer.members)
	}
	if view.Configuration != nil {
		heartbeat.ConfigurationVersion = view.Configuration.Version
	}
	if view.Servers != nil {
		heartbeat.ServersRevision = view.Servers.Revision
		heartbeat.ServerCount = len(view.Servers.List)
		heartbeat.ServersDigest = relayer.cachedDigest(view.Servers)
	}
	return heartbeat
}

// cachedDigest remembers the digest of the newest list; the mutex is held.
func (relayer *Relayer) cachedDigest(servers *viewer.Servers) uint64 {
	if relayer.digestRevision != servers.Revision {
		relayer.digest, relayer.digestRevision = servers.Digest(), servers.Revision
	}
	return relayer.digest
}

// Receive takes a datagram of another instance.
func (relayer *Relayer) Receive(ctx context.Context, content []byte) error {
	var heartbeat Heartbeat
	if err := decode(content, &heartbeat); err != nil {
		return err
	}
	if heartbeat.Sender.Name == relayer.self.Name || heartbeat.Sender.Name == "" {
		return nil
	}
	now := time.Now()
	relayer.recordSender(heartbeat, now)
	relayer.handleSuspicions(heartbeat, now)
	relayer.reconcile(ctx, heartbeat, now)
	return nil
}

// recordSender keeps the sender in the list of members.
func (relayer *Relayer) recordSender(heartbeat Heartbeat, now time.Time) {
	relayer.mutex.Lock()
	known := relayer.members[heartbeat.Sender.Name]
	isNew := known == nil
	if isNew {
		known = &peer{}
		relayer.members[heartbeat.Sender.Name] = known
	}
	changed := isNew || known.leaving != heartbeat.Leaving
	if heartbeat.InstanceCount > 0 {
		relayer.reportedInstances = heartbeat.InstanceCount
	}
	known.Member, known.receivedAt, known.leaving = heartbeat.Sender, now, heartbeat.Leaving
	if changed {
		relayer.updateRank()
	}
	relayer.mutex.Unlock()
	if isNew {
		relayer.observer.MemberJoined(heartbeat.Sender)
	}
}

// reconcile fetches what the sender knows and this instance does not, and answers one that knows less.
func (relayer *Relayer) reconcile(ctx context.Context, heartbeat Heartbeat, now time.Time) {
	view := relayer.viewer.Current()
	relayer.mutex.Lock()
	own := relayer.newHeartbeat(now, false)
	relayer.mutex.Unlock()
	switch {
	case heartbeat.ConfigurationVersion > own.ConfigurationVersion || heartbeat.ServersRevision > own.ServersRevision:
		relayer.catchUp(ctx, heartbeat, own, view, now)
	case heartbeat.ConfigurationVersion < own.ConfigurationVersion || heartbeat.ServersRevision < own.ServersRevision:
		relayer.answer(heartbeat.Sender, minAnswerInterval, now)
	default:
		relayer.confirmFreshness(heartbeat, now)
	}
}

// catchUp takes what is new from the heartbeat if it is all there, and fetches it otherwise.
func (relayer *Relayer) catchUp(ctx context.Context, heartbeat, own Heartbeat, view *viewer.View, now time.Time) {
	if !view.Complete() && heartbeat.ServerCount > shortListLength && relayer.firstReadPending(now) {
		return // the store gives a long list faster than an instance that all ask at once
	}
	configuration, servers := heartbeat.updatedConfiguration(own, view), heartbeat.updatedServers(own, view)
	if configuration == nil || servers == nil {
		relayer.startUnlessRunning("fetch", func() { relayer.fetch(ctx, heartbeat.Sender) })
		return
	}
	relayer.applyConfiguration(configuration, heartbeat.Sender.Name)
	relayer.applyServers(servers, heartbeat.Sender.Name)
	relayer.confirmFreshness(heartbeat, now)
}

// updatedConfiguration returns the newest configuration after the heartbeat, or nil when
// the heartbeat does not say enough.
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

// updatedServers returns the newest list of servers after the heartbeat, or nil when the
// heartbeat does not say enough.
func (heartbeat *Heartbeat) updatedServers(own Heartbeat, view *viewer.View) *viewer.Servers {
	var servers *viewer.Servers
	switch {
	case view.Servers == nil:
		return nil
	case heartbeat.ServersRevision <= own.ServersRevision:
		return view.Servers
	case heartbeat.ServersDigest == own.ServersDigest:
		return &viewer.Servers{Revision: heartbeat.ServersRevision, List: view.Servers.List}
	case heartbeat.ServersDelta != nil:
		servers = view.Servers.Apply(heartbeat.ServersDelta)
	}
	if servers == nil || servers.Revision != heartbeat.ServersRevision || servers.Digest() != heartbeat.ServersDigest {
		return nil
	}
	return servers
}

// firstReadPending reports whether the first read of the store may still succeed.
func (relayer *Relayer) firstReadPending(now time.Time) bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.schedule.failures == 0 && now.Sub(relayer.startedAt) < firstReadTimeout
}

// confirmFreshness notes how fresh the view is, passes on what came from another
// failure domain, and shows the sender now and then that this instance lives.
func (relayer *Relayer) confirmFreshness(heartbeat Heartbeat, now time.Time) {
	before := relayer.Age(now)
	relayer.markFresh(now.Add(-heartbeat.Age))
	news := before-relayer.Age(now) > ReadInterval/2
	if news && heartbeat.Sender.FailureDomain != relayer.self.FailureDomain && relayer.isLeader() {
		relayer.announceToDomain()
	}
	if !heartbeat.IsAnswer {
		relayer.answer(heartbeat.Sender, keepaliveInterval, now)
	}
}

// answer sends a heartbeat back, which also shows that this instance lives.
func (relayer *Relayer) answer(to Member, interval time.Duration, now time.Time) {
	relayer.mutex.Lock()
	known := relayer.members[to.Name]
	if known == nil || now.Sub(known.answeredAt) < interval {
		relayer.mutex.Unlock()
		return
	}
	known.answeredAt = now
	content := encode(relayer.newHeartbeat(now, true))
	relayer.mutex.Unlock()
	relayer.network.Send(to.PeerAddress, content)
}
