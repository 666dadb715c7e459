package policy

import (
	"cmp"
	"slices"
	"time"
)

// The state of a table group is kept while a request refers to it. After that it is kept until the group expires, but
// only for a bounded number of groups: clients choose the names of table groups, so that they could otherwise fill the
// memory.
const (
	// maxIdleGroups is the number of table groups without requests whose state is kept.
	maxIdleGroups = 512

	// idleGroupsAfterEviction is the number of them that are left when the bound is exceeded. Evicting many at a time
	// makes the search for the least recently used ones rare.
	idleGroupsAfterEviction = maxIdleGroups * 3 / 4
)

// group is the state of a table group, the paper's affinity cluster.
type group struct {
	id            int
	requests      int     // requests that refer to the group
	ownThreads    float64 // group #T: threads of own attempts in flight
	home          *engine // see Gateway.homeEngine; valid while Gateway.homesAssigned is set
	affinitySet   []*engine
	lastUsed      map[EngineID]time.Duration // time of the group's last send, by engine of the set
	setCores      float64                    // sum of the cores of the set
	overloaded    bool                       // result of the latest overload test
	recentThreads decayingSum                // threads of recent sends
	answers       []groupAnswers             // recent answers to queries that are not idempotent, by engine
}

// tableGroup returns the state of a table group and creates it if necessary.
func (g *Gateway) tableGroup(id int) *group {
	if known := g.groups[id]; known != nil {
		return known
	}
	gr := &group{id: id, lastUsed: map[EngineID]time.Duration{}}
	g.groups[id] = gr
	i, _ := slices.BinarySearchFunc(g.groupsByID, id, compareGroupID)
	g.groupsByID = slices.Insert(g.groupsByID, i, gr)
	g.homesAssigned = false
	return gr
}

// useGroup returns the table group of a new request, which must release it when it no longer exists.
func (g *Gateway) useGroup(id int) *group {
	gr := g.tableGroup(id)
	gr.requests++
	return gr
}

// releaseGroup records that a request of a table group no longer exists.
func (g *Gateway) releaseGroup(gr *group) {
	gr.requests--
	if len(g.groups) > maxIdleGroups+len(g.requests) {
		g.evictIdleGroups()
	}
}

// idle reports whether no request refers to the group and none of its attempts is in flight.
func (gr *group) idle() bool { return gr.requests == 0 && gr.ownThreads == 0 }

// evictIdleGroups removes the idle groups that were sent least recently, those that were never sent first.
func (g *Gateway) evictIdleGroups() {
	var idle []*group
	for _, gr := range g.groupsByID {
		if gr.idle() {
			idle = append(idle, gr)
		}
	}
	slices.SortFunc(idle, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.recentThreads.updatedAt, b.recentThreads.updatedAt), cmp.Compare(a.id, b.id))
	})
	for _, gr := range idle[:max(0, len(idle)-idleGroupsAfterEviction)] {
		g.removeGroup(gr)
	}
	g.dropRemovedGroups()
}

// expireGroups removes the groups that have no attempt in flight and no recent traffic.
func (g *Gateway) expireGroups() {
	for _, gr := range g.groupsByID {
		if gr.ownThreads == 0 && g.now-gr.recentThreads.updatedAt > stateExpiry {
			g.removeGroup(gr)
		}
	}
	g.dropRemovedGroups()
}

// removeGroup deletes the state of a group. The caller calls dropRemovedGroups after it.
func (g *Gateway) removeGroup(gr *group) {
	for len(gr.affinitySet) > 0 {
		g.removeFromSet(gr, gr.affinitySet[0])
	}
	delete(g.groups, gr.id)
	g.homesAssigned = false
}

// dropRemovedGroups removes the groups from groupsByID that were deleted.
func (g *Gateway) dropRemovedGroups() {
	g.groupsByID = slices.DeleteFunc(g.groupsByID, func(gr *group) bool { return g.groups[gr.id] != gr })
}

func compareGroupID(gr *group, id int) int { return cmp.Compare(gr.id, id) }
