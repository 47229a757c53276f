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

// BenchmarkHeartbeatRound measures one round of heartbeats. For each member, one
// message is encoded and one response is decoded and applied; then the list of
// live members is built, as for a snapshot. bytes/beat is the size of the encoded
// message.
func BenchmarkHeartbeatRound(b *testing.B) {
	for _, members := range []int{10, 50, 100, 400} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			table, contacts := membership.NewTable(), membership.NewContacts("self")
			now := time.Unix(1e9, 0)
			responses := make([]*peer.Heartbeat, members)
			for i := range members {
				m := benchMember(i)
				contacts.RecordHeartbeat(m.PeerAddress, now)
				responses[i] = memberToWire(m)
			}
			encoded := make([][]byte, members)
			b.ReportAllocs()
			for round := uint64(0); b.Loop(); round++ {
				now = now.Add(membership.HeartbeatInterval)
				heartbeatRound(table, contacts, responses, encoded, now)
			}
			b.ReportMetric(float64(len(encoded[0])), "bytes/beat")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*members), "ns/peer")
		})
	}
}

func heartbeatRound(table *membership.Table, contacts *membership.Contacts, responses []*peer.Heartbeat, encoded [][]byte, now time.Time) {
	self := benchMember(0)
	self.GossipAddresses = contacts.Gossip(now)
	_ = contacts.HeartbeatTargets(now)
	for i, response := range responses {
		response.Sequence++
		encoded[i], _ = proto.Marshal(memberToWire(self))
		received, _ := proto.Marshal(response)
		decoded := &peer.Heartbeat{}
		_ = proto.Unmarshal(received, decoded)
		m := memberFromWire(decoded)
		table.Update(m, now)
		contacts.RecordHeartbeat(m.PeerAddress, now)
		contacts.AddGossip(m.GossipAddresses, now)
	}
	_ = table.Live(now)
}
