// Package locator finds a control group: it collects the addresses of control processes and what
// they know about the members and the leader.
package locator

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Locator holds what one process knows about a control group. Members are replaced by those of
	// newer views, but the seeds stay, so that a process whose known members are all gone still has
	// addresses to ask. It is safe for concurrent use.
	Locator struct {
		mu      sync.Mutex
		self    string                 // address at which this process can be asked; empty if it cannot
		replica bool                   // whether this process has a replica that bootstraps the group
		local   func() jaygw.GroupView // view of that replica; nil until it is open
		seeds   []string
		view    jaygw.GroupView
		peers   map[string]time.Time // times of the last contact with control processes, by address
		turn    int                  // number of targets returned so far
	}

	// Option configures a Locator.
	Option func(*Locator)
)

const (
	// peerRetention is how long a control process without contact is remembered.
	peerRetention = 2 * time.Minute

	// hearsayAge is the age with which a control process is recorded that only another one has
	// named, so that it is forgotten earlier.
	hearsayAge = time.Minute

	// maxPeers bounds the control processes that are remembered, and that a response lists.
	maxPeers = 64

	// maxMembers bounds the members that are accepted from another process.
	maxMembers = 64
)

// WithAddress sets the address at which other processes can ask this one.
func WithAddress(address string) Option { return func(l *Locator) { l.self = address } }

// WithReplica tells other processes that this process has a replica that bootstraps the group.
func WithReplica() Option { return func(l *Locator) { l.replica = true } }

// WithReplicaView sets a function that returns the view of the replica in this process.
func WithReplicaView(view func() jaygw.GroupView) Option { return func(l *Locator) { l.local = view } }

// New returns the locator of a process that knows only the seeds.
func New(seeds []string, options ...Option) *Locator {
	l := &Locator{seeds: slices.Clone(seeds), peers: map[string]time.Time{}}
	l.Configure(options...)
	return l
}

// Configure applies options that were not known when the locator was created.
func (l *Locator) Configure(options ...Option) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, option := range options {
		option(l)
	}
}

// SetSeeds replaces the seeds. It returns whether they have changed.
func (l *Locator) SetSeeds(seeds []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := !slices.Equal(l.seeds, seeds)
	l.seeds = slices.Clone(seeds)
	return changed
}

// View returns the newest view.
func (l *Locator) View() jaygw.GroupView {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentView()
}

func (l *Locator) currentView() jaygw.GroupView {
	if l.local != nil {
		local := l.local()
		l.learn(local)
		if l.view.Leader == l.self && local.Leader != l.self {
			l.view.Leader = local.Leader // only this process knows whether it still leads
		}
	}
	return l.view
}

// Leads reports whether the replica in this process leads.
func (l *Locator) Leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self != "" && l.currentView().Leader == l.self
}

// Learn adopts a view if it is newer than the known one. It returns whether it has adopted it.
func (l *Locator) Learn(view jaygw.GroupView) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.learn(view)
}

func (l *Locator) learn(view jaygw.GroupView) bool {
	if view.Commit == 0 || len(view.Members) == 0 || len(view.Members) > maxMembers {
		return false
	}
	if view.Commit < l.view.Commit {
		return false
	}
	if view.Commit == l.view.Commit && (view.Leader == "" || view.Leader == l.view.Leader || view.Term < l.view.Term) {
		return false
	}
	l.view = view
	return true
}

// HandleRequest records a request of another process and returns the response.
func (l *Locator) HandleRequest(request jaygw.LocateRequest, now time.Time) jaygw.LocateResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(request.View)
	l.recordPeer(request.Address, now)
	response := jaygw.LocateResponse{View: l.currentView(), Replica: l.replica}
	for _, peer := range slices.Sorted(maps.Keys(l.peers)) {
		// A peer known only from others is not passed on, or an address that is gone would
		// circulate forever.
		if peer != request.Address && now.Sub(l.peers[peer]) < hearsayAge {
			response.Peers = append(response.Peers, peer)
		}
	}
	return response
}

// HandleResponse records the response of a control process.
func (l *Locator) HandleResponse(from string, response jaygw.LocateResponse, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordPeer(from, now)
	for _, peer := range response.Peers {
		if _, known := l.peers[peer]; !known {
			l.recordPeer(peer, now.Add(-hearsayAge))
		}
	}
	l.learn(response.View)
}

// recordPeer records a contact with a control process. The table drops the entry with the oldest contact
// when it is full.
func (l *Locator) recordPeer(address string, now time.Time) {
	if address == "" || address == l.self {
		return
	}
	l.peers[address] = now
	oldest := address
	for peer, contact := range l.peers {
		switch {
		case now.Sub(contact) > peerRetention:
			delete(l.peers, peer)
		case contact.Before(l.peers[oldest]):
			oldest = peer
		}
	}
	if len(l.peers) > maxPeers {
		delete(l.peers, oldest)
	}
}

// Request returns the request to send to other processes.
func (l *Locator) Request() jaygw.LocateRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return jaygw.LocateRequest{View: l.currentView(), Address: l.self}
}

// Addresses returns all known addresses: the members, the seeds and the other control processes.
func (l *Locator) Addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses()
}

func (l *Locator) addresses() []string {
	var addresses []string
	add := func(list []string) {
		for _, address := range list {
			if address != l.self && !slices.Contains(addresses, address) {
				addresses = append(addresses, address)
			}
		}
	}
	add(l.currentView().Members)
	add(l.seeds)
	add(slices.Sorted(maps.Keys(l.peers)))
	return addresses
}

// NextTargets returns up to count addresses to ask next: the leader, and of the others those whose turn
// it is.
func (l *Locator) NextTargets(count int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses := l.addresses()
	var targets []string
	if leader := slices.Index(addresses, l.view.Leader); leader >= 0 {
		targets = append(targets, l.view.Leader)
		addresses = slices.Delete(addresses, leader, leader+1)
	}
	for range min(count-len(targets), len(addresses)) {
		targets = append(targets, addresses[l.turn%len(addresses)])
		l.turn++
	}
	return targets
}
