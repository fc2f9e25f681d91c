package outlier

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// updateServers applies a list of servers. Of two servers with the same key the second is ignored.
func (detector *Detector) updateServers(all []Server) {
	names := map[string]bool{}
	for _, listed := range all {
		if names[listed.Name] || len(names) >= MaxServers {
			continue
		}
		if other := detector.byKey[detector.keyOf(listed)]; other != nil && other.Name != listed.Name {
			continue
		}
		names[listed.Name] = true
		server := detector.byName[listed.Name]
		if server == nil || detector.replaces(listed, server) {
			server = detector.addServer(listed, server)
		}
		server.Start = listed.Start
	}
	detector.sortServers(names)
	for _, server := range detector.servers { // MaxEjected falls when a group loses a member
		if server.ejection.active {
			detector.updateEjection(server)
		}
	}
}

// replaces reports whether a listed server is a different process than the known server of that name, or in a different group.
func (detector *Detector) replaces(listed Server, server *serverState) bool {
	restarted := server.Start != listed.Start && detector.settings.Fault != KeepsOldEvidence
	return restarted || server.Group != listed.Group
}

// addServer adds a server without evidence, which may replace the previous process of that name.
func (detector *Detector) addServer(listed Server, previous *serverState) *serverState {
	server := &serverState{Server: listed, key: detector.keyOf(listed), assessments: map[ID]*assessment{}}
	server.own.clear()
	if previous != nil {
		if previous.ejection.active {
			detector.endEjection(previous, false)
		}
		server.down = previous.down
		delete(detector.byKey, previous.key)
	}
	detector.byName[listed.Name] = server
	detector.byKey[server.key] = server
	return server
}

// sortServers removes the servers whose names are not listed, and sorts the others by key and into their groups.
func (detector *Detector) sortServers(names map[string]bool) {
	detector.servers, detector.groups = detector.servers[:0], map[int][]*serverState{}
	for name, server := range detector.byName {
		if !names[name] {
			delete(detector.byName, name)
			delete(detector.byKey, server.key)
			continue
		}
		detector.servers = append(detector.servers, server)
	}
	slices.SortFunc(detector.servers, func(a, b *serverState) int { return cmp.Compare(a.key, b.key) })
	for _, server := range detector.servers {
		detector.groups[server.Group] = append(detector.groups[server.Group], server)
	}
}

// keyOf returns the hash by which messages identify a server's process.
func (detector *Detector) keyOf(server Server) uint32 {
	if detector.settings.Fault == KeepsOldEvidence {
		server.Start = 0
	}
	return uint32(xxhash.Sum64String(fmt.Sprintf("%s %.0f", server.Name, server.Start)))
}
