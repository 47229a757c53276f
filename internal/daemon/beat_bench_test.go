package daemon

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/peer"
)

func benchMember(i int) membership.Member {
	return membership.Member{
		Instance: fmt.Sprintf("host-%04d-0123abcd", i), Host: fmt.Sprintf("host-%04d", i),
		Zone: fmt.Sprintf("zone-%03d", i%145), State: membership.StateReady,
		CallerAddress: "10.20.30.40:8080", PeerAddress: fmt.Sprintf("10.20.%d.%d:8081", i/250, i%250), RelayAddress: "10.20.30.40:8082",
		Sequence: uint64(1e6 + i), ConfigVersion: 12345, Slots: []int{0, 1},
		Headroom: map[string]membership.Headroom{
			"lookup": {Free: 3, Limit: 4}, "posting": {Free: 3, Limit: 4}, "report": {Free: 3, Limit: 4},
		},
	}
}

// BenchmarkBeat measures one round of heartbeats: to every member one message
// is encoded, and one answer decoded and taken in; then the live list is made,
// as for a snapshot. bytes/beat is the encoded message.
func BenchmarkBeat(b *testing.B) {
	for _, members := range []int{10, 50, 100, 400} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			table, contacts := membership.NewTable(), membership.NewContacts("self")
			now := time.Unix(1e9, 0)
			answers := make([]*peer.Heartbeat, members)
			for i := range members {
				m := benchMember(i)
				contacts.RecordHeartbeat(m.PeerAddress, now)
				answers[i] = memberToWire(m)
			}
			raw := make([][]byte, members)
			b.ReportAllocs()
			for round := uint64(0); b.Loop(); round++ {
				now = now.Add(membership.HeartbeatInterval)
				beatRound(table, contacts, answers, raw, now)
			}
			b.ReportMetric(float64(len(raw[0])), "bytes/beat")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*members), "ns/peer")
		})
	}
}

func beatRound(table *membership.Table, contacts *membership.Contacts, answers []*peer.Heartbeat, raw [][]byte, now time.Time) {
	own := benchMember(0)
	own.GossipAddresses = contacts.Gossip(now)
	_ = contacts.HeartbeatTargets(now)
	for i, answer := range answers {
		answer.Sequence++
		raw[i], _ = proto.Marshal(memberToWire(own))
		received, _ := proto.Marshal(answer)
		decoded := &peer.Heartbeat{}
		_ = proto.Unmarshal(received, decoded)
		m := memberFromWire(decoded)
		table.Update(m, now)
		contacts.RecordHeartbeat(m.PeerAddress, now)
		contacts.AddGossip(m.GossipAddresses, now)
	}
	_ = table.Live(now)
}
