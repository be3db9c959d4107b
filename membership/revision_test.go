package membership

import "testing"

// Guards against waiting for a heartbeat although the session row already names the revision, and against using the
// revision of another incarnation.
func TestPeerRevision(t *testing.T) {
	cases := []struct {
		name string
		peer peerState
		want uint64
	}{
		{"the row is newer", peerState{session: 7, lastHeartbeat: heartbeat{Revision: 3}, rowSession: 7, rowRevision: 4}, 4},
		{"the heartbeat is newer", peerState{session: 7, lastHeartbeat: heartbeat{Revision: 5}, rowSession: 7, rowRevision: 4}, 5},
		{"the row is of an earlier incarnation", peerState{session: 8, lastHeartbeat: heartbeat{Revision: 3}, rowSession: 7, rowRevision: 4}, 3},
		{"the row is of an incarnation without a heartbeat", peerState{session: 7, lastHeartbeat: heartbeat{Revision: 3}, rowSession: 8, rowRevision: 4}, 3},
		{"the row is missing", peerState{session: 7, lastHeartbeat: heartbeat{Revision: 3}, rowRevision: 4}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.peer.revision(); got != c.want {
				t.Errorf("revision is %d, want %d", got, c.want)
			}
		})
	}
}
