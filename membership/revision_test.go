package membership

import "testing"

// TestKnownRevision guards against an acceptance that waits for a heartbeat although the session row tells the revision,
// and against one that takes the word of a session that has ended.
func TestKnownRevision(t *testing.T) {
	cases := []struct {
		name string
		peer peerState
		want uint64
	}{
		{"the row is the later news", peerState{session: 7, last: heartbeat{Revision: 3}, rowSession: 7, rowRevision: 4}, 4},
		{"the heartbeat is the later news", peerState{session: 7, last: heartbeat{Revision: 5}, rowSession: 7, rowRevision: 4}, 5},
		{"the row is of a session that has ended", peerState{session: 8, last: heartbeat{Revision: 3}, rowSession: 7, rowRevision: 4}, 3},
		{"the row is of a session that has not been heard", peerState{session: 7, last: heartbeat{Revision: 3}, rowSession: 8, rowRevision: 4}, 3},
		{"the row is gone", peerState{session: 7, last: heartbeat{Revision: 3}, rowRevision: 4}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.peer.revision(); got != c.want {
				t.Errorf("revision is %d, want %d", got, c.want)
			}
		})
	}
}
